// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Rcu.h"
#include "RouteServing/Gateway/PlatformSources.h"
#include "RouteServing/Routing/FreshnessLease.h"

#include <atomic>
#include <mutex>

namespace Brassladder::RouteServing::Gateway {

// Follows what the platform knows: the configuration and the list of upstreams, read from the platform's store or told
// by another router, with the moment at which they were confirmed. Keeps the newest of one life of the process.
//
// Some routers read the store at a steady pace and tell the others (PeerExchange). The others read for themselves as
// soon as word is late.
class PlatformWatcher {
public:
    struct RefreshIntervals {
        Common::Milliseconds configurationLongPoll { 800 }; // One reading of the store waits so long for a change.
        Common::Milliseconds configurationStaleAfter { 2200 }; // Word that is older is late.
        Common::Milliseconds upstreamInterval { 900 };
        Common::Milliseconds upstreamsStaleAfter { 1400 };
        Common::Milliseconds initialBackoff { 100 }; // After a reading that failed; doubles with each one more...
        Common::Milliseconds maxBackoff { 800 }; // ...up to this.
    };

    PlatformWatcher(PlatformSources, RefreshIntervals, Routing::FreshnessLease&, Routing::UpstreamRegistry&);

    // Whether this router reads the store at a steady pace; must be set before following.
    void setStoreReaderCheck(std::function<bool()> readsStore) { m_readsStore = std::move(readsStore); }
    // Called after each change, by the fiber that learned of it.
    void setOnChange(std::function<void()> hook) { m_onChange = std::move(hook); }

    // Each runs until the process ends, as a fiber of its own.
    void watchConfiguration();
    void watchUpstreams();

    // Word of another router. `confirmed`: the moment, on our clock, up to which it is known to be the newest.
    void updateConfigurationFromPeer(uint64_t version, std::string_view text, Common::TimePoint confirmed);
    void updateUpstreamsFromPeer(std::optional<std::vector<Routing::UpstreamRecord>>, Common::TimePoint confirmed);

    // Null until the first version is known.
    ConfigurationPtr configuration() const { return m_configuration.load(); }
    bool knowsUpstreams() const { return m_knowsUpstreams.load(); }
    Common::Milliseconds upstreamsAge(Common::TimePoint now) const;

private:
    // One line when a dependency is lost, and one when it is back.
    struct Dependency {
        std::string_view name;
        unsigned failures { 0 }; // In a row.
        void recordFailure(const Common::Error&);
        void recordSuccess();
    };

    // Afterwards that version is in force, or a newer one.
    void adopt(const ConfigurationPtr&, std::string_view from);
    void setUpstreams(std::optional<std::vector<Routing::UpstreamRecord>>, Common::TimePoint confirmed);
    void backOff(const Dependency&) const;
    bool isFresh(Common::Milliseconds age, Common::Milliseconds late) const;

    PlatformSources m_sources;
    RefreshIntervals m_pace;
    Routing::FreshnessLease& m_lease;
    Routing::UpstreamRegistry& m_registry;
    std::function<bool()> m_readsStore { [] { return true; } };
    std::function<void()> m_onChange { [] {} };
    Common::RcuCell<Configuration> m_configuration { nullptr };
    std::atomic<bool> m_knowsUpstreams { false };
    mutable std::mutex m_mutex;
    Common::TimePoint m_upstreamsConfirmed {};
};

} // namespace Brassladder::RouteServing::Gateway
