// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Rcu.h"
#include "Gateway/Sources.h"
#include "Routing/FreshnessLease.h"

#include <atomic>

namespace Brassladder::Gateway {

// Follows what the platform knows: the configuration by waiting for its next version, the list of upstreams by reading
// it at a pace that the bound on leaving upstreams sets. Keeps the newest version of one life of the process.
class Follower {
public:
    struct Pace {
        Common::Milliseconds configurationWait { 1500 };
        Common::Milliseconds upstreamInterval { 900 };
        Common::Milliseconds retryPause { 100 }; // After a reading that failed.
    };

    Follower(Sources, Pace, Routing::FreshnessLease&, Routing::UpstreamBoard&);

    // Each runs until the process ends, as a fiber of its own.
    void followConfiguration();
    void followUpstreams();

    // Null until the first version is known.
    std::shared_ptr<const Routing::RouteTable> table() const { return m_table.load(); }
    bool knowsUpstreams() const { return m_knowsUpstreams.load(); }

private:
    // One line when a dependency is lost, and one when it is back.
    struct Dependency {
        std::string_view name;
        bool lost { false };
        void noteFailure(const Common::Error&);
        void noteSuccess();
    };

    void adopt(const std::shared_ptr<const Routing::RouteTable>&);

    Sources m_sources;
    Pace m_pace;
    Routing::FreshnessLease& m_lease;
    Routing::UpstreamBoard& m_board;
    Common::RcuCell<Routing::RouteTable> m_table { nullptr };
    std::atomic<bool> m_knowsUpstreams { false };
};

} // namespace Brassladder::Gateway
