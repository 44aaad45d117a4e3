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

// One router as a member of its fleet: whom it knows, which role it has, whom it asks, and what it owes the platform's
// store. Decides only: messages and calls are Gateway/PeerExchange's and RosterWatcher's. Not safe for several threads.
class FleetMember {
public:
    // `jitter`: random, in [0, 1).
    FleetMember(std::string id, StartPhase::Settings, Common::TimePoint started, double jitter);
    // Where this router's peers connect. Must be told before all else.
    void setOwnEndpoint(const Common::Endpoint&, Common::TimePoint now);

    // Another router has stated its address; true when it is new.
    bool addContact(const std::string& id, const Common::Endpoint&, Common::TimePoint now);
    // True when an address is new.
    bool addRoster(std::span<const RosterEntry>);
    void recordRosterRead() { m_isRosterKnown = true; }
    void recordAnnounced() { m_isAnnounced = true; }

    // A part of a peer's roster, whose entries were added. `incarnation`: of the process that sent it.
    struct RosterRange {
        uint64_t after { 0 };
        uint64_t revision { 0 };
        bool isComplete { false }; // The peer knows the whole fleet.
    };
    // True when this router has come to know the whole fleet by it.
    bool recordRosterPart(const std::string& peer, uint64_t incarnation, const RosterRange&);
    // What this router's roster may be taken for.
    bool hasCompleteRoster(Common::TimePoint now) const { return m_isRosterKnown && m_start.isSettled(now); }
    RosterSituation rosterSituation(Common::TimePoint now) const;

    // Whom this router asks from now on.
    struct Target {
        // Under an id of our own, since a seed's own id is not known yet. None: the ranking holds.
        std::optional<RosterEntry> seed;
        HubRanking ranking;
        bool seedHasChanged { false };
        bool roleHasChanged { false };
    };
    // Leaves out a target that does not answer, then chooses.
    Target update(Common::TimePoint now);
    // The peer that has not answered in time since the last update; none when it was a seed, or there is none.
    std::optional<std::string> handleOverdueHub(Common::TimePoint now);
    const std::optional<RosterEntry>& seed() const { return m_seed; }
    void recordSeedFailure() { m_start.recordSeedFailure(); }

    // A read of the platform's store has ended. A router that cannot read it lets others read.
    void recordStoreRead(bool hasSucceeded, Common::TimePoint now);
    bool canReadStore(Common::TimePoint now) const { return !m_storeBackoff.isIgnored(now); }
    // A peer has said whether it can read the store.
    void recordPeerStoreAvailability(const std::string& peer, bool isAvailable, Common::TimePoint now);

    bool isHub() const { return m_isHub; }
    bool readsStore() const { return m_readsStore; }
    // Whether the first state is expected from another router. A hub reads the store for those that wait for it.
    bool awaitsFirstState(Common::TimePoint now) const
    {
        return m_start.awaitsState(now) && !(m_isRosterKnown && m_isHub);
    }
    // How many routers may be at work, this one included: all that were ever announced. None before that is known.
    std::optional<size_t> fleetSize() const;

    PeerDirectory& peers() { return m_peers; }
    const PeerDirectory& peers() const { return m_peers; }
    OutstandingRequests& outstanding() { return m_outstanding; }
    // How much of the target's roster was received.
    const RosterPosition& rosterPosition(const std::string& target);

private:
    bool isQueryingSeeds(Common::TimePoint now) const { return !m_isRosterKnown && m_start.awaitsRoster(now); }
    bool updateSeed(Common::TimePoint now);

    PeerDirectory m_peers;
    StartPhase m_start;
    OutstandingRequests m_outstanding;
    std::optional<RosterEntry> m_seed; // While one is asked.
    RosterPosition m_seedRoster; // What it has sent of its roster.
    HubBackoff m_storeBackoff;
    unsigned m_storeFailures { 0 }; // In a row.
    bool m_isRosterKnown { false };
    bool m_isAnnounced { false };
    bool m_isHub { true };
    bool m_readsStore { true };
};

} // namespace Brassladder::RouteServing::Routing
