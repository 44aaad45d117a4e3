// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/PeerExchange.h"

#include "Common/Log.h"
#include "RouteServing/Gateway/SlotExchange.h"
#include "RouteServing/Gateway/SnapshotCodec.h"
#include "RouteServing/Gateway/StreamOriginExchange.h"

// The part of the exchange that learns which routers there are.
namespace Brassladder::RouteServing::Gateway {

using Common::LogLevel;

// The caller must take the lock before it changes the peers, and hold it during this call. Otherwise, if two threads
// each add a peer, an older list could replace a newer one in the mesh. Mesh::setPeers() calls no hook, so holding the
// lock cannot cause a deadlock.
void PeerExchange::setMeshPeers()
{
    std::vector<Inner::Peer> peers;
    for (const auto& [id, peer] : m_member.peers().peers())
        peers.push_back({ id, peer.endpoint });
    if (const auto& seed = m_member.queriedSeed())
        peers.push_back({ seed->id, seed->endpoint });
    m_mesh.setPeers(peers);
    setRoutersOfExchanges();
}

void PeerExchange::setRoutersOfExchanges()
{
    std::vector<std::string> ids { m_id };
    std::vector<Routing::SlotCoordinatorRanking::Router> routers { { m_id, m_parts.capacity } };
    for (const auto& [id, peer] : m_member.peers().peers()) {
        if (!peer.endpoint.port)
            continue;
        ids.push_back(id);
        routers.push_back({ id, peer.capacity });
    }
    if (m_parts.origins)
        m_parts.origins->setRouters(ids);
    if (m_parts.slots)
        m_parts.slots->setRouters(routers);
}

void PeerExchange::addPeerAddress(const std::string& id, const Inner::Wire::KnowledgeAsk& request)
{
    const auto& address = request.endpoint();
    auto endpoint = Common::parseEndpoint(address);
    // Without a valid address in the request, the mesh can send the response only if the roster contains the peer.
    // Otherwise it drops the response.
    if (isError(endpoint))
        return Common::log(LogLevel::Warning, "gateway", "peer.bad_address",
            { { "peer", id }, { "address", address }, { "error", errorOf(endpoint).message } });
    std::lock_guard lock(m_mutex);
    if (!m_member.addContact(id, valueOf(endpoint), Common::now(), request.capacity()))
        return;
    m_mesh.setPeer({ id, valueOf(endpoint) });
    setRoutersOfExchanges();
}

void PeerExchange::addRoster(std::span<const Routing::RosterEntry> entries)
{
    std::lock_guard lock(m_mutex);
    if (m_member.addRoster(entries))
        setMeshPeers();
}

void PeerExchange::onRosterRead(std::span<const Routing::RosterEntry> entries)
{
    addRoster(entries);
    locked([](auto& member) { member.recordRosterRead(); });
}

void PeerExchange::onRosterPart(const Inner::Mesh::Sender& from, const Inner::Wire::RosterPart& part)
{
    addRoster(decodeRoster(part.packed()));
    Routing::FleetMember::RosterRange range { part.after(), part.revision(), part.is_whole() };
    bool isNew = locked([&](auto& member) { return member.recordRosterPart(from.id, from.incarnation, range); });
    // The roster has just become complete, so the hub is known. Requests a snapshot without waiting for the next
    // interval.
    if (isNew)
        Common::FiberRuntime::spawnOnCurrentThread([this] { step(); });
}

} // namespace Brassladder::RouteServing::Gateway
