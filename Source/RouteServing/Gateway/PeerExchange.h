// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Mesh.h"
#include "RouteServing/Gateway/Follower.h"
#include "RouteServing/Gateway/PendingAsks.h"
#include "RouteServing/Routing/HubRanking.h"
#include "RouteServing/Routing/LoadSums.h"
#include "RouteServing/Routing/UpstreamBoard.h"

#include <map>
#include <mutex>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// Tells routers of each other: what they have under way at the upstreams, and what they know of the platform, with
// ages. Routers ask their hub a few times a second; hubs tell each other sums (Routing/HubRanking.h). Nothing here must
// be right for a rule to hold: a router without word reads the store itself and counts its own requests alone.
class PeerExchange {
public:
    struct Parts {
        RosterSource roster;
        Follower& follower;
        Routing::FreshnessLease& lease;
        Routing::UpstreamBoard& board;
    };

    PeerExchange(Common::FiberRuntime&, Parts, std::string id, std::string_view fleetKey);

    // Listens for peers; the port in use, or PlatformUnavailable.
    Common::Result<uint16_t> listen(const Common::Endpoint&);
    // Each runs until the process ends, as a fiber of its own.
    void followRoster();
    void exchange();

    bool isHub() const;
    // Whether this router reads the platform's store for others.
    bool readsStore() const;
    // How many routers may be at work, this one included: all that were ever announced. None before that is known.
    std::optional<size_t> fleetSize() const;
    // Peers that ask this router are told to ask another one from now on.
    void leave();

private:
    // What is known of one peer.
    struct PeerState {
        Common::Endpoint endpoint;
        unsigned silences { 0 }; // Times in a row that it was taken for dead.
        Common::TimePoint unusableUntil {};
        Common::TimePoint asked {}; // The last time it asked this router.
        LastSent configuration;
        LastSent upstreams; // The version is the list's digest.
    };
    void onItem(const Inner::Mesh::Sender&, const Inner::Wire::Item&);
    void onAsk(const std::string& from, const Inner::Wire::KnowledgeAsk&);
    void onKnowledge(const std::string& from, const Inner::Wire::Knowledge&);
    void onHubLoads(const std::string& from, const Inner::Wire::HubLoads&);
    void tellNews();
    void step();
    void ask(const std::string& source, bool asHub);
    Inner::Wire::Knowledge answerTo(const std::string& from, const Inner::Wire::KnowledgeAsk&);
    void tellHubs(const std::vector<std::string>& hubs);
    void noteSilence();
    Inner::Wire::Knowledge knowledgeFor(uint64_t version, uint64_t digest) const;
    void addPeer(const std::string& id, const Common::Endpoint&);
    void setMeshPeers();
    Routing::HubRanking ranking() const;

    Parts m_parts;
    std::string m_id;
    Common::Endpoint m_endpoint;
    Inner::Mesh m_mesh;
    mutable std::mutex m_mutex;
    std::map<std::string, PeerState> m_peers;
    Routing::LoadSums m_askers; // Word of those that ask this router.
    Routing::LoadSums m_hubs; // Word of other hubs, or of the own one.
    PendingAsks m_pending;
    bool m_isHub { true };
    bool m_readsStore { true };
    bool m_knowsRoster { false };
    bool m_leaving { false };
};

} // namespace Brassladder::RouteServing::Gateway
