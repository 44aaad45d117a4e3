// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Endpoint.h"
#include "RouteServing/Routing/HubBackoff.h"
#include "RouteServing/Routing/HubRanking.h"
#include "RouteServing/Routing/OutstandingRequests.h"
#include "RouteServing/Routing/Roster.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// What a router knows of one other router.
struct PeerState {
    // A copy of the configuration that is lost without a word is sent again after this. Not soon: the end of a
    // connection is told (Inner/PeerLink.h), so it only matters when the peer dropped what it received; and that peer
    // reads the store itself meanwhile. Computed: nine plain copies of 2.6 MB, the size of FrameCodec.h, take 19 s on a
    // hub's link of 10 Mbit/s.
    static constexpr Common::Milliseconds configurationLostAfter { 30'000 };
    // A list of upstreams is only used when its request is not overdue (OutstandingRequests), so it is sent again after
    // the same time. Chosen, not measured: five exchange intervals.
    static constexpr Common::Milliseconds upstreamsLostAfter { 500 };

    // It is alive. Another life of the process has nothing of what the one before was sent.
    void recordContact(uint64_t sender);
    // It sent a request, and relies on this router from then on.
    void recordRequest(uint64_t sender, uint64_t version, Common::TimePoint now);
    // What was in flight to it is lost.
    void forgetSent();

    Common::Endpoint endpoint;
    uint64_t rosterVersion { 0 }; // Of its announcement that the address is from, or was at the time.
    uint64_t rosterRevision { 0 }; // Of this router's roster when the entry last changed.
    HubBackoff backoff;
    HubBackoff storeBackoff; // Said that it cannot read the store.
    Common::TimePoint lastRequest {}; // When it last requested a snapshot from this router.
    uint64_t incarnation { 0 }; // Of that request's sender.
    uint64_t configurationVersion { 0 }; // That it had then.
    bool readsPacked { false }; // Whether it takes a packed configuration.
    LastSentVersion configuration { configurationLostAfter };
    LastSentVersion upstreams { upstreamsLostAfter }; // The version is the list's digest.
    RosterCursor rosterSent; // Of this router's roster to the peer.
    RosterPosition rosterReceived; // Of the peer's roster.
};

// The other routers of the fleet, and with them this router's role. Not safe for several threads.
class PeerDirectory {
public:
    explicit PeerDirectory(std::string self)
        : m_self(std::move(self))
    {
    }

    // Where this router's peers connect; must be told before all else.
    void setOwnEndpoint(const Common::Endpoint&);
    // A peer that has just stated its address itself. True when it is new or has a new address.
    bool addContact(const std::string& id, const Common::Endpoint&);
    // What the platform or a peer says of a router, also of this one. An entry is used only when its version is newer
    // than what is known, so that routers whose rosters differ do not replace each other's addresses again and again.
    // True when a peer is new or has a new address.
    bool add(const RosterEntry&);
    // Rises with each entry that changes.
    uint64_t rosterRevision() const { return m_revision; }
    // The entries that changed after that revision.
    std::vector<RosterEntry> rosterAfter(uint64_t revision) const;
    // Whether the platform has this router's address, as far as is known.
    bool isAnnounced() const { return m_selfVersion && m_announced == m_selfEndpoint; }
    // The state of a peer; an entry without an address is made for one that is not known yet.
    PeerState& state(const std::string& id) { return m_peers[id]; }
    // Null for a peer that is not known.
    PeerState* find(const std::string& id);
    const std::map<std::string, PeerState>& peers() const { return m_peers; }

    // Which routers are hubs now, and where this router requests snapshots. `canReadStore`: of this router.
    HubRanking ranking(bool canReadStore, Common::TimePoint now) const;
    // Peers that requested a snapshot from this router lately, and so rely on it.
    std::vector<std::string> subscribers(Common::TimePoint now) const;

private:
    bool setEndpoint(PeerState&, const Common::Endpoint&);

    std::string m_self;
    std::map<std::string, PeerState> m_peers; // By id.
    uint64_t m_revision { 0 };
    Common::Endpoint m_selfEndpoint;
    Common::Endpoint m_announced; // What the platform says of this router, as of `m_selfVersion`.
    uint64_t m_selfVersion { 0 };
    uint64_t m_selfRevision { 0 };
};

} // namespace Brassladder::RouteServing::Routing
