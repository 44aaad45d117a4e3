// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/PeerDirectory.h"
#include "RouteServing/Routing/RosterDuty.h"
#include "RouteServing/Routing/StartPhase.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// One router's membership in its fleet: its peers, its role, where it requests snapshots, and its duties towards the
// platform's store. Only makes decisions; Gateway/PeerExchange and RosterWatcher send the messages and calls. Not
// thread-safe.
class FleetMember {
public:
    // `jitter` is random, in [0, 1).
    FleetMember(std::string id, StartPhase::Settings, Common::TimePoint started, double jitter,
        Common::Milliseconds hubResponseTimeout = OutstandingRequests::defaultResponseTimeout);
    // Sets where peers connect to this router. Must be called before all other functions.
    void setOwnEndpoint(const Common::Endpoint&, Common::TimePoint now, unsigned capacity = 0);

    // Records an address and a capacity that another router stated for itself. Returns whether the router or its
    // address is new.
    bool addContact(const std::string& id, const Common::Endpoint&, Common::TimePoint now, unsigned capacity = 0);
    // Returns whether an address is new.
    bool addRoster(std::span<const RosterEntry>);
    void recordRosterRead() { m_isRosterKnown = true; }
    void recordAnnounced() { m_isAnnounced = true; }

    // A range of revisions of a peer's roster.
    struct RosterRange {
        uint64_t after { 0 };
        uint64_t revision { 0 };
        bool isComplete { false }; // The peer's roster covers the whole fleet.
    };
    // Records that a part of a peer's roster was received. Call it after addRoster() with the entries of the part.
    // `incarnation` identifies the process that sent it. Returns whether this router's roster became complete with this
    // part.
    bool recordRosterPart(const std::string& peer, uint64_t incarnation, const RosterRange&);
    // Whether this router's roster covers the whole fleet, as far as can be known.
    bool hasCompleteRoster(Common::TimePoint now) const { return m_isRosterKnown && m_start.isSettled(now); }
    RosterSituation rosterSituation(Common::TimePoint now) const;

    // Where this router requests snapshots from now on.
    struct Target {
        // Its id is generated, because the seed's own id is not known yet. If empty, the ranking applies.
        std::optional<RosterEntry> seed;
        HubRanking ranking;
        bool seedHasChanged { false };
        bool roleHasChanged { false };
    };
    // Updates the role and the target. Routers that do not respond are ignored.
    Target update(Common::TimePoint now);
    // Records a timeout if the response of the target is overdue. Returns the target's id, or nullopt if it was a seed
    // or no response is overdue.
    std::optional<std::string> handleOverdueHub(Common::TimePoint now);
    const std::optional<RosterEntry>& queriedSeed() const { return m_seed; }
    void recordSeedFailure() { m_start.recordSeedFailure(); }

    // Records the result of a read of the platform's store. After repeated failures, canReadStore() is false for a
    // backoff, and other hubs become store readers.
    void recordStoreRead(bool hasSucceeded, Common::TimePoint now);
    bool canReadStore(Common::TimePoint now) const { return !m_storeBackoff.isIgnored(now); }
    // Records what a peer stated about its own access to the store.
    void recordPeerStoreAvailability(const std::string& peer, bool isAvailable, Common::TimePoint now);

    // Records a response of the hub that this router requests snapshots from.
    void recordHubResponse(Common::TimePoint now) { m_lastHubResponse = now; }
    // Whether this router leaves reading the store to its hub even if its state is stale. If all routers of a large
    // fleet read the store because the store readers are slow, the store becomes slow for all of them. Hubs read it
    // themselves when their state is stale, and there are about as many as the square root of the fleet.
    bool leavesReadingToHub(Common::TimePoint now) const;
    // Whether all routers of a fleet of this size may read the store at once when their state is stale.
    static bool allMayReadStore(size_t routers);

    bool isHub() const { return m_isHub; }
    bool readsStore() const { return m_readsStore; }
    // Whether the first state is expected from another router. A hub that has the roster reads the store instead,
    // because other routers wait for it.
    bool awaitsFirstState(Common::TimePoint now) const
    {
        return leavesReadingToHub(now) || (m_start.awaitsState(now) && !(m_isRosterKnown && m_isHub));
    }
    // Returns how many routers may be running, including this one. Counts every router in the directory, also those
    // that have ended. Nullopt before the roster is known.
    std::optional<size_t> fleetSize() const;

    PeerDirectory& peers() { return m_peers; }
    const PeerDirectory& peers() const { return m_peers; }
    OutstandingRequests& outstanding() { return m_outstanding; }
    const OutstandingRequests& outstanding() const { return m_outstanding; }
    // Returns how far the target's roster was received.
    const RosterPosition& rosterPosition(const std::string& target);

private:
    bool isQueryingSeeds(Common::TimePoint now) const { return !m_isRosterKnown && m_start.awaitsRoster(now); }
    bool updateSeed(Common::TimePoint now);

    PeerDirectory m_peers;
    StartPhase m_start;
    OutstandingRequests m_outstanding;
    std::optional<RosterEntry> m_seed; // Set while a seed is queried.
    RosterPosition m_seedRoster; // How far the seed's roster was received.
    PeerBackoff m_storeBackoff;
    unsigned m_storeFailures { 0 }; // Consecutive.
    std::optional<Common::TimePoint> m_lastHubResponse; // Nullopt before the first one.
    bool m_isRosterKnown { false };
    bool m_isAnnounced { false };
    bool m_isHub { true };
    bool m_readsStore { true };
};

} // namespace Brassladder::RouteServing::Routing
