// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Mesh.h"
#include "RouteServing/Gateway/OutstandingRequests.h"
#include "RouteServing/Gateway/PlatformWatcher.h"
#include "RouteServing/Routing/HubRanking.h"
#include "RouteServing/Routing/LoadSums.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

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
        PlatformWatcher& watcher;
        Routing::FreshnessLease& lease;
        Routing::UpstreamRegistry& registry;
    };

    PeerExchange(Common::FiberRuntime&, Parts, std::string id, std::string_view fleetKey);

    // Listens for peers; the port in use, or PlatformUnavailable.
    Common::Result<uint16_t> listen(const Common::Endpoint&);
    // Each runs until the process ends, as a fiber of its own.
    void watchRoster();
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
        unsigned timeouts { 0 }; // Times in a row that it was taken for dead.
        Common::TimePoint ignoredUntil {};
        Common::TimePoint asked {}; // The last time it asked this router.
        LastSentVersion configuration;
        LastSentVersion upstreams; // The version is the list's digest.
    };
    void onItem(const Inner::Mesh::Sender&, const Inner::Wire::Item&);
    void onSnapshotRequest(const std::string& from, const Inner::Wire::KnowledgeAsk&);
    void onSnapshot(const std::string& from, const Inner::Wire::Knowledge&);
    void onHubLoads(const std::string& from, const Inner::Wire::HubLoads&);
    void notifySubscribers();
    void step();
    void ask(const std::string& source, bool asHub);
    Inner::Wire::Knowledge snapshotFor(const std::string& from, const Inner::Wire::KnowledgeAsk&);
    void sendLoadsToHubs(const std::vector<std::string>& hubs);
    void checkOverdueHub();
    Inner::Wire::Knowledge buildSnapshot(uint64_t version, uint64_t digest) const;
    void addPeer(const std::string& id, const Common::Endpoint&);
    void setMeshPeers();
    Routing::HubRanking ranking() const;

    Parts m_parts;
    std::string m_id;
    Common::Endpoint m_endpoint;
    Inner::Mesh m_mesh;
    mutable std::mutex m_mutex;
    std::map<std::string, PeerState> m_peers;
    Routing::LoadSums m_subscriberLoads; // Word of those that ask this router.
    Routing::LoadSums m_hubLoads; // Word of other hubs, or of the own one.
    OutstandingRequests m_outstanding;
    bool m_isHub { true };
    bool m_readsStore { true };
    bool m_knowsRoster { false };
    bool m_leaving { false };
};

} // namespace Brassladder::RouteServing::Gateway
