// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/PeerDirectory.h"

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// A peer counts as a subscriber this long after its last request: fifteen exchange intervals, to tolerate a few lost
// requests.
static constexpr Common::Milliseconds subscriberTimeout = 1500ms;

void PeerState::recordContact(uint64_t sender)
{
    if (incarnation != sender)
        forgetSent();
    incarnation = sender;
    backoff.recordContact();
}

void PeerState::recordRequest(uint64_t sender, uint64_t version, Common::TimePoint now)
{
    recordContact(sender);
    configurationVersion = version;
    lastRequest = now;
}

void PeerState::forgetSent()
{
    configuration.forget();
    upstreams.forget();
    rosterSent.forget();
}

bool PeerDirectory::setEndpoint(PeerState& peer, const Common::Endpoint& endpoint)
{
    if (peer.endpoint == endpoint)
        return false;
    peer.endpoint = endpoint;
    // Everything sent so far went to the old address.
    peer.forgetSent();
    peer.backoff.recordResponse();
    return true;
}

void PeerDirectory::setOwnEndpoint(const Common::Endpoint& endpoint, unsigned capacity)
{
    m_selfEndpoint = endpoint;
    m_selfCapacity = capacity;
    m_selfRevision = ++m_revision;
}

bool PeerDirectory::addContact(const std::string& id, const Common::Endpoint& endpoint, unsigned capacity)
{
    if (id == m_self)
        return false;
    auto& peer = m_peers[id];
    bool hasCapacityChanged = std::exchange(peer.capacity, capacity) != capacity;
    bool hasEndpointChanged = setEndpoint(peer, endpoint);
    if (hasCapacityChanged || hasEndpointChanged)
        peer.rosterRevision = ++m_revision;
    return hasEndpointChanged;
}

bool PeerDirectory::add(const RosterEntry& entry)
{
    if (entry.id == m_self) {
        if (entry.version > m_selfVersion) {
            m_announced = entry.endpoint;
            m_selfVersion = entry.version;
            m_selfRevision = ++m_revision;
        }
        return false;
    }
    auto& peer = m_peers[entry.id];
    bool isNew = peer.endpoint == Common::Endpoint {};
    if (!isNew && entry.version <= peer.rosterVersion)
        return false;
    peer.capacity = entry.capacity;
    peer.rosterVersion = entry.version;
    peer.rosterRevision = ++m_revision;
    return setEndpoint(peer, entry.endpoint);
}

std::vector<RosterEntry> PeerDirectory::rosterAfter(uint64_t revision) const
{
    std::vector<RosterEntry> entries;
    if (revision >= m_revision)
        return entries;
    if (m_selfRevision > revision)
        entries.push_back({ m_self, m_selfEndpoint, m_selfVersion, m_selfCapacity });
    for (const auto& [id, peer] : m_peers) {
        if (peer.rosterRevision > revision)
            entries.push_back({ id, peer.endpoint, peer.rosterVersion, peer.capacity });
    }
    return entries;
}

PeerState* PeerDirectory::find(const std::string& id)
{
    auto found = m_peers.find(id);
    return found == m_peers.end() ? nullptr : &found->second;
}

HubRanking PeerDirectory::ranking(bool canReadStore, Common::TimePoint now) const
{
    std::vector<HubRanking::Router> usable;
    for (const auto& [id, peer] : m_peers) {
        if (!peer.backoff.isIgnored(now))
            usable.push_back({ id, !peer.storeBackoff.isIgnored(now), peer.capacity });
    }
    return { usable, { m_self, canReadStore, m_selfCapacity } };
}

std::vector<std::string> PeerDirectory::subscribers(Common::TimePoint now) const
{
    std::vector<std::string> ids;
    for (const auto& [id, peer] : m_peers) {
        if (now - peer.lastRequest < subscriberTimeout)
            ids.push_back(id);
    }
    return ids;
}

} // namespace Brassladder::RouteServing::Routing
