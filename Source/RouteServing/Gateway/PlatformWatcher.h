// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Rcu.h"
#include "RouteServing/Gateway/PlatformSources.h"
#include "RouteServing/Routing/FreshnessLease.h"
#include "RouteServing/Routing/RefreshIntervals.h"
#include "RouteServing/Routing/UpstreamListOrigin.h"
#include "RouteServing/Routing/UpstreamRegistry.h"
#include "RouteServing/Routing/UpstreamSubset.h"

#include <atomic>
#include <mutex>

namespace Brassladder::RouteServing::Gateway {

// Keeps the configuration and the list of upstreams up to date, and records up to which time each is confirmed to be
// the newest. Both come from the platform's store or from another router. Within one process, configuration versions
// only increase.
//
// Store readers read at the intervals of Routing/RefreshIntervals.h, and PeerExchange passes the state on. Other
// routers read the store only if their state is stale, or if they have none and do not wait for a peer
// (Routing/StartPhase.h). Thread-safe; the setters must be called before the watch functions.
class PlatformWatcher {
public:
    PlatformWatcher(PlatformSources, Routing::RefreshIntervals, Routing::FreshnessLease&, Routing::UpstreamRegistry&);

    // Sets the function that returns whether this router is a store reader.
    void setStoreReaderCheck(std::function<bool()> isStoreReader) { m_isStoreReader = std::move(isStoreReader); }
    // Sets the function that returns whether a starting router may wait for its first state from a peer.
    void setFirstStateCheck(std::function<bool()> awaitsFirstState)
    {
        m_awaitsFirstState = std::move(awaitsFirstState);
    }
    // Sets the function that returns whether this router leaves reading the store to its hub although its state is
    // stale.
    void setStaleStateCheck(std::function<bool()> leavesReadingToHub)
    {
        m_leavesReadingToHub = std::move(leavesReadingToHub);
    }
    // The hook is called after each read of the store, with whether the read succeeded.
    void setOnStoreRead(std::function<void(bool)> hook) { m_onStoreRead = std::move(hook); }
    // Sets the function that returns the number of routers in the fleet, or nullopt if it is unknown.
    void setFleetSize(std::function<std::optional<size_t>()> fleetSize) { m_fleetSize = std::move(fleetSize); }
    // The hook is called after each change, in the fiber that received the change.
    void setOnChange(std::function<void()> hook) { m_onChange = std::move(hook); }

    // The watch functions run until the process ends. Each must be started in its own fiber.
    void watchConfiguration();
    void watchUpstreams();

    // Applies state from another router. Decodes a newer configuration on the background thread, and meanwhile suspends
    // the calling fiber. `confirmedAt` is the time, on this router's clock, up to which the state is
    // known to be the newest. The text may be empty if the version is already active.
    void updateConfigurationFromPeer(uint64_t version, std::string_view text, Common::TimePoint confirmedAt);
    // The state of a peer's list. At most one of `list` and `changes` is set; with neither, the peer assumes that this
    // router has the list.
    struct PeerUpstreams {
        std::optional<std::vector<Routing::UpstreamRecord>> list;
        std::optional<Routing::UpstreamListChanges> changes;
        uint64_t digest { 0 }; // Of the peer's list; 0 if unknown.
        std::string peer; // Id of the peer.
        unsigned hops { 0 }; // Routers between the store and the peer.
        bool hasSoftwareVersions { false }; // The peer's list states them; false for earlier routers.
    };
    void updateUpstreamsFromPeer(PeerUpstreams, Common::TimePoint confirmedAt);

    // Null until the first version is received.
    ConfigurationPtr configuration() const { return m_configuration.load(); }
    // 0 until the first version is received.
    uint64_t activeVersion() const;
    bool hasUpstreamList() const { return m_hasUpstreamList.load(); }
    // Whether upstreams of the list may have a software version that this router does not know, because an earlier
    // router passed the list on.
    bool lacksSoftwareVersions() const { return m_lacksSoftwareVersions.load(); }
    // Time since the list was last confirmed, or Milliseconds::max() if it never was.
    Common::Milliseconds upstreamsAge(Common::TimePoint now) const { return upstreamsOrigin().age(now); }
    // Waits briefly while the list is too old to send a request by and is likely to be confirmed soon. Does not wait
    // while the store cannot be read or is slow, since no request may suffer only because of that.
    void awaitRecentUpstreams();
    // The list in use, and by whom and when it was last confirmed.
    Routing::UpstreamListOrigin upstreamsOrigin() const;

private:
    // Returns null if the text is not a valid configuration.
    ConfigurationPtr decode(uint64_t version, std::string_view text);
    // Logs once when a dependency becomes unavailable, and once when it is available again.
    struct Dependency {
        std::string_view name;
        unsigned failures { 0 }; // Consecutive.
        void recordFailure(const Common::Error&);
        void recordSuccess();
    };

    // Activates the version unless the active one is the same or newer. `from` is "store" or "peer", for the log.
    void activate(const ConfigurationPtr&, std::string_view from);
    // Activates a list that was read from the store, unless the active one was confirmed at the same time or later.
    // Keeps the evacuations of the active list if `knowsEvacuations` is false.
    void setUpstreams(const UpstreamListPtr&, bool knowsEvacuations, Common::TimePoint confirmedAt);
    // Returns the demand that decides how many upstreams of the service are used.
    Routing::UpstreamSubset::Demand demandOf(std::string_view service) const;
    // The functions below require the lock.
    using Departures = std::vector<Routing::UpstreamDeparture>;
    Departures activateList(const UpstreamListPtr&, bool knowsEvacuations);
    struct AppliedUpdate {
        bool isPeersList { false }; // Whether this router has the peer's list now.
        Departures departures;
    };
    AppliedUpdate applyPeerUpstreams(PeerUpstreams&);
    void confirmUpstreams(std::string confirmedBy, unsigned hops, Common::TimePoint confirmedAt);
    // Records the outcome of a read. After an error, sleeps for the backoff and returns true.
    bool backOffOnError(const std::optional<Common::Error>&, Dependency&);
    // Whether this router may skip reading the store, given the age of its state.
    bool reliesOnPeers(Common::Milliseconds age, Common::Milliseconds staleAfter) const;
    Common::Milliseconds checkInterval() const;

    PlatformSources m_sources;
    Routing::RefreshIntervals m_intervals;
    Routing::FreshnessLease& m_lease;
    Routing::UpstreamRegistry& m_registry;
    std::function<bool()> m_isStoreReader { [] { return true; } };
    std::function<bool()> m_awaitsFirstState { [] { return false; } };
    std::function<bool()> m_leavesReadingToHub { [] { return false; } };
    std::function<void(bool)> m_onStoreRead { [](bool) {} };
    std::function<std::optional<size_t>()> m_fleetSize { [] { return std::nullopt; } };
    std::function<void()> m_onChange { [] {} };
    Common::RcuCell<Configuration> m_configuration { nullptr };
    std::atomic<uint64_t> m_decodedVersion { 0 }; // The newest version that is being decoded; 0 if none is.
    std::atomic<bool> m_hasUpstreamList { false };
    std::atomic<bool> m_lacksSoftwareVersions { false };
    std::atomic<bool> m_canReadUpstreams { true }; // Whether the last read succeeded.
    std::atomic<bool> m_mayAwaitList { true }; // False after a wait in vain, until lists are confirmed in time again.
    mutable std::mutex m_mutex;
    Routing::UpstreamSubset m_subset; // Guarded by m_mutex, like m_upstreamsOrigin.
    Routing::UpstreamListOrigin m_upstreamsOrigin;
};

} // namespace Brassladder::RouteServing::Gateway
