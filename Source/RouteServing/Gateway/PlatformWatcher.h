// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Rcu.h"
#include "RouteServing/Gateway/PlatformSources.h"
#include "RouteServing/Routing/FreshnessLease.h"
#include "RouteServing/Routing/RefreshIntervals.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <atomic>
#include <mutex>

namespace Brassladder::RouteServing::Gateway {

// Keeps the configuration and the list of upstreams up to date, read from the platform's store or received from another
// router, with the moment up to which each is confirmed. Versions of the configuration only rise within one life of the
// process.
//
// Store readers read at the intervals of Routing/RefreshIntervals.h and pass the state on (PeerExchange). The others
// read the store themselves only when what they have is stale, or when they have nothing and expect nothing from others
// (Routing/StartPhase.h). Safe to use from several threads.
class PlatformWatcher {
public:
    PlatformWatcher(PlatformSources, Routing::RefreshIntervals, Routing::FreshnessLease&, Routing::UpstreamRegistry&);

    // Whether this router is a store reader; must be set before watching.
    void setStoreReaderCheck(std::function<bool()> isStoreReader) { m_isStoreReader = std::move(isStoreReader); }
    // Whether a router that has just started may wait for its first state from another one; must be set before
    // watching.
    void setFirstStateCheck(std::function<bool()> awaitsFirstState)
    {
        m_awaitsFirstState = std::move(awaitsFirstState);
    }
    // Called after each read of the store, with whether it succeeded; must be set before watching.
    void setOnStoreRead(std::function<void(bool)> hook) { m_onStoreRead = std::move(hook); }
    // Called after each change, by the fiber that received it; must be set before watching.
    void setOnChange(std::function<void()> hook) { m_onChange = std::move(hook); }

    // Each runs until the process ends, as a fiber of its own.
    void watchConfiguration();
    void watchUpstreams();

    // State from another router. `confirmedAt`: the moment, on our clock, up to which it is known to be the newest. The
    // text may be empty when the version is in force already.
    void updateConfigurationFromPeer(uint64_t version, std::string_view text, Common::TimePoint confirmedAt);
    void updateUpstreamsFromPeer(std::optional<std::vector<Routing::UpstreamRecord>>, Common::TimePoint confirmedAt);

    // Null until the first version is known.
    ConfigurationPtr configuration() const { return m_configuration.load(); }
    // 0 until then.
    uint64_t activeVersion() const;
    bool hasUpstreamList() const { return m_hasUpstreamList.load(); }
    // Since the list was confirmed; the longest there is when it never was.
    Common::Milliseconds upstreamsAge(Common::TimePoint now) const;

private:
    // Logs when a dependency is lost and when it is back, once each.
    struct Dependency {
        std::string_view name;
        unsigned failures { 0 }; // In a row.
        void recordFailure(const Common::Error&);
        void recordSuccess();
    };

    // Puts a version in force unless a newer one is. `from`: "store" or "peer", for the log.
    void adopt(const ConfigurationPtr&, std::string_view from);
    // Puts a list in force unless the one in force was confirmed later. Null: the one in force is the newest.
    void setUpstreams(const UpstreamListPtr&, Common::TimePoint confirmedAt);
    bool replaceUpstreams(const UpstreamListPtr&);
    // Whether a read gave no state; then it waits before the next one.
    bool backOffOnError(const std::optional<Common::Error>&, Dependency&);
    // Whether this router can leave the store alone for now, with a state that was confirmed so long ago.
    bool reliesOnPeers(Common::Milliseconds age, Common::Milliseconds staleAfter) const;
    Common::Milliseconds checkInterval() const;

    PlatformSources m_sources;
    Routing::RefreshIntervals m_intervals;
    Routing::FreshnessLease& m_lease;
    Routing::UpstreamRegistry& m_registry;
    std::function<bool()> m_isStoreReader { [] { return true; } };
    std::function<bool()> m_awaitsFirstState { [] { return false; } };
    std::function<void(bool)> m_onStoreRead { [](bool) {} };
    std::function<void()> m_onChange { [] {} };
    Common::RcuCell<Configuration> m_configuration { nullptr };
    std::atomic<bool> m_hasUpstreamList { false };
    mutable std::mutex m_mutex;
    UpstreamListPtr m_upstreams; // The list in force, in the registry as well. Guarded by m_mutex, as the next.
    Common::TimePoint m_upstreamsConfirmedAt {};
};

} // namespace Brassladder::RouteServing::Gateway
