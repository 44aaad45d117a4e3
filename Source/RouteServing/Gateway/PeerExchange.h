// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Mesh.h"
#include "RouteServing/Gateway/PlatformWatcher.h"
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

// The exchange between routers: the load that they have outstanding at upstreams, and the platform's state with its
// age. Routers request a snapshot from their hub a few times a second, and hubs send each other sums of loads; who is a
// hub follows from Routing/HubRanking.h, and that from the roster, which a router that starts gets from a seed
// (Routing/StartPhase.h). No promise depends on the exchange: a router without a recent snapshot reads
// the store itself and places requests by its own load alone.
//
// Owns the connections between routers. Safe to use from several threads.
class PeerExchange {
public:
    struct Parts {
        RosterSource roster;
        PlatformWatcher& watcher;
        Routing::FreshnessLease& lease;
        Routing::UpstreamRegistry& registry;
        Routing::StartPhase::Settings start {};
        UsageExchange* usage { nullptr }; // Null where nobody reports usage.
        Routing::SuspectLedger* suspects { nullptr }; // Null where none are passed on.
    };

    PeerExchange(Common::FiberRuntime&, Parts, std::string id, std::string_view fleetKey);

    // Listens for peers; the port in use, or PlatformUnavailable.
    Common::Result<uint16_t> listen(const Common::Endpoint&);
    // Each runs until the process ends, as a fiber of its own.
    void watchRoster() { m_roster.watch({ m_id, m_endpoint }); }
    void exchange();

    bool isHub() const;
    // Whether this router reads the platform's store for others.
    bool readsStore() const;
    // How many routers may be at work, this one included: all that were ever announced. None before the roster is
    // known.
    std::optional<size_t> fleetSize() const;
    // Part of a planned stop: subscribers are told to request snapshots elsewhere.
    void leave() { m_snapshots.leave(); }
    // Whether this router hears of too few others to do duties for the fleet.
    bool isPartitioned() const;
    // See Routing/FleetConnectivity.h.
    double unreachableLoadFactor() const;
    // The router that holds the fleet's duties, empty when none is known; must be set before the exchange.
    void setDutyHolder(std::function<std::string()> holder) { m_dutyHolder = std::move(holder); }

private:
    // Calls the function with the member under the lock.
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

    // Messages
    void onItem(const Inner::Mesh::Sender&, const Inner::Wire::Item&);
    void onDisconnected(const std::string& peer);
    void onSnapshotRequest(const Inner::Mesh::Sender& from, const Inner::Wire::KnowledgeAsk&);
    void onSnapshot(const Inner::Mesh::Sender& from, const Inner::Wire::Knowledge&);
    void onConfiguration(const std::string& from, const Inner::Wire::Knowledge&, Common::TimePoint confirmedAt);
    void onHubLoads(const Inner::Mesh::Sender& from, const Inner::Wire::HubLoads&);
    // When our own request was sent that the snapshot answers; none for notifications and late responses.
    std::optional<Common::TimePoint> recordSnapshot(const std::string& from, const Inner::Wire::Knowledge&);

    // What is sent
    void step();
    Routing::FleetMember::Target updateTarget();
    bool addRequestHeader(const std::string& target, bool asHub, Inner::Wire::KnowledgeAsk&);
    void requestRoster(const std::string& seed);
    void requestSnapshot(const std::string& hub, bool asHub);
    void sendLoadsToHubs(const std::vector<std::string>& hubs);
    void addUsage(const std::string& hub, bool isDutyHolder, Inner::Wire::HubLoads&);
    void notifySubscribers();

    // The roster
    void addContact(const std::string& id, const std::string& address);
    void addRoster(std::span<const Routing::RosterEntry>);
    void setMeshPeers();
    void onRosterRead(std::span<const Routing::RosterEntry>);
    void onRosterPart(const Inner::Mesh::Sender& from, const Inner::Wire::RosterPart&);

    Parts m_parts;
    std::string m_id;
    Common::Endpoint m_endpoint;
    Inner::Mesh m_mesh;
    RosterWatcher m_roster;
    mutable std::mutex m_mutex; // Guards the next two.
    Routing::FleetMember m_member;
    Routing::PeerLoads m_loads;
    Routing::FleetConnectivity m_contact; // Guarded by m_mutex as well.
    std::optional<SuspectExchange> m_suspects;
    QuotaExchange m_quotas;
    std::function<std::string()> m_dutyHolder { [] { return std::string(); } };
    SnapshotBuilder m_snapshots;
};

} // namespace Brassladder::RouteServing::Gateway
