// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Mesh.h"
#include "RouteServing/Gateway/DemandExchange.h"
#include "RouteServing/Gateway/FragilityExchange.h"
#include "RouteServing/Gateway/PaceExchange.h"
#include "RouteServing/Gateway/PlatformWatcher.h"
#include "RouteServing/Gateway/QueueExchange.h"
#include "RouteServing/Gateway/QuotaExchange.h"
#include "RouteServing/Gateway/RosterWatcher.h"
#include "RouteServing/Gateway/SnapshotBuilder.h"
#include "RouteServing/Gateway/SuspectExchange.h"
#include "RouteServing/Gateway/UsageExchange.h"
#include "RouteServing/Routing/FleetConnectivity.h"
#include "RouteServing/Routing/FleetMember.h"
#include "RouteServing/Routing/PeerLoads.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <functional>
#include <mutex>
#include <string>

namespace Brassladder::RouteServing::Gateway {

class SlotExchange;
class StreamOriginExchange;

// Exchanges loads and the platform's state between routers. Each router requests a snapshot from its hub at every
// exchange interval (Routing/ExchangeInterval.h); hubs send each other the sums of their own and their subscribers'
// loads. Routing/HubRanking.h determines the hubs from the roster. A starting router gets the roster from a seed
// (Routing/StartPhase.h). A router without a recent snapshot reads the store itself and places requests by its own
// load.
//
// Owns the connections between routers. Thread-safe.
class PeerExchange {
public:
    struct Parts {
        RosterSource roster;
        PlatformWatcher& watcher;
        Routing::FreshnessLease& lease;
        Routing::UpstreamRegistry& registry;
        Routing::StartPhase::Settings start {};
        UsageExchange* usage { nullptr }; // Null if usage is not reported.
        Routing::SuspectLedger* suspects { nullptr }; // Null if suspects are not exchanged.
        unsigned capacity { 0 }; // Of this router (Routing::RosterEntry).
        Routing::WorkspaceShares* shares { nullptr }; // Null if demands of workspaces are not exchanged.
        Routing::FleetQueues* queues { nullptr }; // Null if outstanding generations are not exchanged.
        Routing::RefreshIntervals intervals {};
        StreamOriginExchange* origins { nullptr }; // Null if origins of streams are not exchanged.
        SlotExchange* slots { nullptr }; // Null if no slots of fragile upstreams are reserved.
        Common::ConnectionBudget* connections { nullptr }; // Counts the connections of peers; null if not limited.
    };

    PeerExchange(Common::FiberRuntime&, Parts, std::string id, std::string_view fleetKey);

    // Listens for peers. Returns the port in use, or PlatformUnavailable.
    Common::Result<uint16_t> listen(const Common::Endpoint&);
    // watchRoster() and run() run until the process ends. Each must be started in its own fiber.
    void watchRoster() { m_roster.watch({ m_id, m_endpoint, 0, m_parts.capacity }); }
    void run();

    bool isHub() const;
    // Returns where the other routers accept connections from routers, whether or not they run.
    std::vector<Common::Endpoint> routerEndpoints() const;
    // Sets the hook for routers that ask for a tunnel (Inner/TunnelServer.h). Must be called before listen().
    void setOnTunnelRequest(Inner::Mesh::OnTunnelRequest hook) { m_onTunnelRequest = std::move(hook); }
    // Whether this router is a store reader: it reads the platform's store on behalf of other routers.
    bool readsStore() const;
    // Returns the number of routers that were ever announced, including this one. This is an upper bound of the running
    // routers. Returns nullopt until the roster is known.
    std::optional<size_t> fleetSize() const;
    // Returns the interval at which routers request snapshots in a fleet of this size.
    Common::Milliseconds exchangeInterval() const;
    // Called in a planned stop. Later snapshots carry the leaving flag, and subscribers switch to another hub.
    void leave() { m_snapshots.leave(); }
    // Whether this router receives loads from too few other routers to perform duties for the fleet.
    bool isPartitioned() const;
    // Returns the factor from the known load to the load of the whole fleet (Routing/FleetConnectivity.h).
    double unreachableLoadFactor() const;
    // Sets the function that returns the id of the router that holds the duties, or an empty string if it is unknown.
    // Must be called before run().
    void setDutyHolder(std::function<std::string()> holder) { m_dutyHolder = std::move(holder); }

private:
    // Calls the function with the member while holding m_mutex.
    template <typename Function> auto locked(const Function& function) const
    {
        std::lock_guard lock(m_mutex);
        return function(m_member);
    }
    template <typename Function> auto locked(const Function& function)
    {
        std::lock_guard lock(m_mutex);
        return function(m_member);
    }

    // Received messages
    void onItem(const Inner::Mesh::Sender&, const Inner::Wire::Item&);
    void onItemOfExchanges(const Inner::Mesh::Sender&, const Inner::Wire::Item&);
    void onDisconnected(const std::string& peer);
    void onSnapshotRequest(const Inner::Mesh::Sender& from, const Inner::Wire::KnowledgeAsk&);
    void onSnapshot(const Inner::Mesh::Sender& from, const Inner::Wire::Knowledge&);
    void onConfiguration(const std::string& from, const Inner::Wire::Knowledge&, Common::TimePoint confirmedAt);
    // Adopts the encoded configuration, as of the given time. Suspends the calling fiber.
    void adoptConfiguration(
        const std::string& from, const Inner::Wire::Knowledge& encoded, Common::TimePoint confirmedAt);
    void onHubLoads(const Inner::Mesh::Sender& from, const Inner::Wire::HubLoads&);
    // Returns the time when this router sent the request that the snapshot answers. Returns nullopt for notifications,
    // late responses and responses of seeds.
    std::optional<Common::TimePoint> recordSnapshot(const std::string& from, const Inner::Wire::Knowledge&);

    // Sent messages
    void step();
    void stepSlots(double reachableShare, Common::TimePoint now);
    Common::Milliseconds untilNextStep() const;
    // Returns the share of the fleet's routers whose loads are known. The caller must hold the lock.
    double knownShareOfFleet(Common::TimePoint now) const;
    Routing::FleetMember::Target updateTarget();
    bool addRequestHeader(const std::string& target, bool asHub, Inner::Wire::KnowledgeAsk&);
    void requestRoster(const std::string& seed);
    void requestSnapshot(const std::string& hub, bool asHub);
    void sendLoadsToHubs(const std::vector<std::string>& hubs);
    void addUsage(const std::string& hub, bool isDutyHolder, Inner::Wire::HubLoads&);
    void notifySubscribers();

    // The roster
    // Tells the exchanges of origins and slots which routers there are. The caller must hold the lock.
    void setRoutersOfExchanges();
    void addPeerAddress(const std::string& id, const Inner::Wire::KnowledgeAsk&);
    void addRoster(std::span<const Routing::RosterEntry>);
    void setMeshPeers();
    void onRosterRead(std::span<const Routing::RosterEntry>);
    void onRosterPart(const Inner::Mesh::Sender& from, const Inner::Wire::RosterPart&);

    Parts m_parts;
    std::string m_id;
    Common::Endpoint m_endpoint;
    Inner::Mesh m_mesh;
    RosterWatcher m_roster;
    mutable std::mutex m_mutex; // Guards m_member, m_loads and m_connectivity.
    Routing::FleetMember m_member;
    Routing::PeerLoads m_loads;
    Routing::FleetConnectivity m_connectivity;
    std::optional<SuspectExchange> m_suspects;
    QuotaExchange m_quotas;
    FragilityExchange m_fragility;
    PaceExchange m_paces;
    std::optional<DemandExchange> m_demands;
    std::optional<QueueExchange> m_queues;
    Inner::Mesh::OnTunnelRequest m_onTunnelRequest { [](auto, const auto&) {} };
    std::function<std::string()> m_dutyHolder { [] { return std::string(); } };
    SnapshotBuilder m_snapshots;
};

} // namespace Brassladder::RouteServing::Gateway
