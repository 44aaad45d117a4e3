// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Endpoint.h"
#include "RouteServing/Routing/HubRanking.h"
#include "RouteServing/Routing/OutstandingRequests.h"
#include "RouteServing/Routing/PeerBackoff.h"
#include "RouteServing/Routing/Roster.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// The state that a router keeps about one peer.
struct PeerState {
    // If the peer does not have a configuration this long after it was sent, it is sent again; until then the peer
    // reads the store itself. Longer than the transfer of several copies on a slow link. Does not apply when the
    // connection is lost, because its end is reported (Inner/PeerLink.h).
    // Nine copies of 2.6 MB take 19 s on a link of 10 Mbit/s.
    static constexpr Common::Milliseconds configurationLostAfter { 30'000 };
    // The same for a list of upstreams: the peer ignores the response to an overdue request.
    static constexpr Common::Milliseconds upstreamsLostAfter { OutstandingRequests::defaultResponseTimeout };

    // Records that the peer is running. `sender` identifies its process; a new process has received nothing yet.
    void recordContact(uint64_t sender);
    // Records a request for a snapshot, which makes the peer a subscriber. `version` is the version of its
    // configuration.
    void recordRequest(uint64_t sender, uint64_t version, Common::TimePoint now);
    // Marks everything in flight to the peer as lost.
    void forgetSent();

    Common::Endpoint endpoint;
    unsigned capacity { 0 }; // See RosterEntry.
    uint64_t rosterVersion { 0 }; // Of the peer's newest known announcement.
    uint64_t rosterRevision { 0 }; // Of this router's roster when the entry last changed.
    PeerBackoff backoff;
    PeerBackoff storeBackoff; // Active while the peer reports that it cannot read the store.
    Common::TimePoint lastRequest {}; // When the peer last requested a snapshot from this router.
    uint64_t incarnation { 0 }; // Of the peer's process at its last contact.
    uint64_t configurationVersion { 0 }; // The version that the peer had at its last request.
    bool acceptsPackedConfiguration { false };
    LastSentVersion configuration { configurationLostAfter };
    LastSentVersion upstreams { upstreamsLostAfter }; // The version is the digest of the list.
    RosterCursor rosterSent; // How far this router's roster was sent to the peer.
    RosterPosition rosterReceived; // How far the peer's roster was received.
};

// The other routers of the fleet. Derives this router's role from them. Not thread-safe.
class PeerDirectory {
public:
    explicit PeerDirectory(std::string self)
        : m_self(std::move(self))
    {
    }

    // Sets where peers connect to this router. Must be called before all other functions.
    void setOwnEndpoint(const Common::Endpoint&, unsigned capacity = 0);
    // Records an address and a capacity that a peer stated for itself. Returns whether the peer or its address is new.
    bool addContact(const std::string& id, const Common::Endpoint&, unsigned capacity = 0);
    // Adds a roster entry from the platform or a peer, which may be the entry of this router. A known entry is replaced
    // only by a newer version; otherwise routers with different rosters would overwrite each other's addresses
    // repeatedly. Returns whether a peer or its address is new.
    bool add(const RosterEntry&);
    // Increases with each entry that changes.
    uint64_t rosterRevision() const { return m_revision; }
    // Returns the entries that changed after the revision.
    std::vector<RosterEntry> rosterAfter(uint64_t revision) const;
    // Whether the platform has this router's current address, as far as known.
    bool isAnnounced() const { return m_selfVersion && m_announced == m_selfEndpoint; }
    // Returns the state of a peer. Adds an entry without an address if the peer is unknown.
    PeerState& state(const std::string& id) { return m_peers[id]; }
    // Returns null if the peer is unknown.
    PeerState* find(const std::string& id);
    const std::map<std::string, PeerState>& peers() const { return m_peers; }

    // Returns which routers are hubs now and where this router requests snapshots. `canReadStore` applies to this
    // router.
    HubRanking ranking(bool canReadStore, Common::TimePoint now) const;
    // Returns the peers that requested a snapshot from this router recently.
    std::vector<std::string> subscribers(Common::TimePoint now) const;

private:
    bool setEndpoint(PeerState&, const Common::Endpoint&);

    std::string m_self;
    std::map<std::string, PeerState> m_peers; // By id.
    uint64_t m_revision { 0 };
    Common::Endpoint m_selfEndpoint;
    unsigned m_selfCapacity { 0 };
    Common::Endpoint m_announced; // This router's address on the platform, as of `m_selfVersion`.
    uint64_t m_selfVersion { 0 };
    uint64_t m_selfRevision { 0 };
};

} // namespace Brassladder::RouteServing::Routing
