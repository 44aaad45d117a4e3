// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/FleetMember.h"

namespace Brassladder::RouteServing::Routing {

FleetMember::FleetMember(std::string id, StartPhase::Settings settings, Common::TimePoint started, double jitter,
    Common::Milliseconds hubResponseTimeout)
    : m_peers(std::move(id))
    , m_start(std::move(settings), started, jitter)
    , m_outstanding(hubResponseTimeout)
{
}

void FleetMember::setOwnEndpoint(const Common::Endpoint& self, Common::TimePoint now, unsigned capacity)
{
    m_start.setOwnEndpoint(self);
    m_peers.setOwnEndpoint(self, capacity);
    // A router that queries seeds has no role until it has the roster.
    m_isHub = m_readsStore = !isQueryingSeeds(now);
}

// Roster

bool FleetMember::addContact(
    const std::string& id, const Common::Endpoint& endpoint, Common::TimePoint now, unsigned capacity)
{
    bool wasListed = m_peers.find(id);
    if (!m_peers.addContact(id, endpoint, capacity))
        return false;
    if (!wasListed)
        m_start.recordUnlistedRouter(now);
    return true;
}

bool FleetMember::addRoster(std::span<const RosterEntry> entries)
{
    bool hasChanged = false;
    for (const auto& entry : entries)
        hasChanged |= m_peers.add(entry);
    return hasChanged;
}

bool FleetMember::recordRosterPart(const std::string& peer, uint64_t incarnation, const RosterRange& range)
{
    auto& received = m_peers.state(peer).rosterReceived;
    received.advance(incarnation, range.after, range.revision);
    m_seedRoster.advance(incarnation, range.after, range.revision);
    bool hasAll = received.revisionOf(incarnation) >= range.revision;
    bool completesRoster = !m_isRosterKnown && range.isComplete && hasAll;
    m_isRosterKnown |= completesRoster;
    return completesRoster;
}

RosterSituation FleetMember::rosterSituation(Common::TimePoint now) const
{
    RosterSituation situation;
    situation.isKnown = m_isRosterKnown;
    situation.awaitsRoster = m_start.awaitsRoster(now);
    situation.isAnnounced = m_isAnnounced || m_peers.isAnnounced();
    situation.isStoreReader = m_readsStore;
    return situation;
}

const RosterPosition& FleetMember::rosterPosition(const std::string& target)
{
    return m_seed && m_seed->id == target ? m_seedRoster : m_peers.state(target).rosterReceived;
}

std::optional<size_t> FleetMember::fleetSize() const
{
    if (!m_isRosterKnown)
        return std::nullopt;
    return m_peers.peers().size() + 1;
}

// Platform store

// A single failure may be transient.
static constexpr unsigned storeFailuresBeforeBackoff = 2;

void FleetMember::recordStoreRead(bool hasSucceeded, Common::TimePoint now)
{
    if (hasSucceeded) {
        m_storeFailures = 0;
        m_storeBackoff.recordResponse();
        return;
    }
    ++m_storeFailures;
    bool hasFailedRepeatedly = m_storeFailures >= storeFailuresBeforeBackoff || m_storeBackoff.timeouts();
    if (hasFailedRepeatedly && canReadStore(now))
        m_storeBackoff.recordTimeout(now);
}

void FleetMember::recordPeerStoreAvailability(const std::string& peer, bool isAvailable, Common::TimePoint now)
{
    auto& backoff = m_peers.state(peer).storeBackoff;
    if (isAvailable)
        backoff.recordResponse();
    else if (!backoff.isIgnored(now))
        backoff.recordUnavailable(now);
}

// A fleet of this size may read the store all at once within its bounds.
static constexpr size_t maxRoutersThatAllRead = 300;
// A few times the longest interval of the exchange. A hub that is silent for longer is replaced (OutstandingRequests).
static constexpr Common::Milliseconds hubResponseMaxAge { 1500 };

bool FleetMember::allMayReadStore(size_t routers) { return routers <= maxRoutersThatAllRead; }

bool FleetMember::leavesReadingToHub(Common::TimePoint now) const
{
    if (m_isHub || allMayReadStore(fleetSize().value_or(0)))
        return false;
    return m_lastHubResponse && now - *m_lastHubResponse < hubResponseMaxAge;
}

// Target of the requests

std::optional<std::string> FleetMember::handleOverdueHub(Common::TimePoint now)
{
    if (!m_outstanding.isOverdue(now))
        return std::nullopt;
    m_outstanding.clear();
    if (m_seed) {
        m_start.recordSeedFailure();
        return std::nullopt;
    }
    auto hub = m_outstanding.target();
    if (auto* peer = m_peers.find(hub))
        peer->backoff.recordTimeout(now);
    return hub;
}

// Returns whether the queried seed has changed, also to none.
bool FleetMember::updateSeed(Common::TimePoint now)
{
    auto seed = isQueryingSeeds(now) ? m_start.seedToQuery() : std::nullopt;
    bool isSame = m_seed ? seed == m_seed->endpoint : !seed;
    if (isSame)
        return false;
    m_seed.reset();
    if (seed)
        m_seed = RosterEntry { "seed " + seed->text(), *seed, 0 };
    m_seedRoster = {};
    return true;
}

FleetMember::Target FleetMember::update(Common::TimePoint now)
{
    Target target { std::nullopt, m_peers.ranking(canReadStore(now), now) };
    target.seedHasChanged = updateSeed(now);
    target.seed = m_seed;
    if (m_seed) {
        m_outstanding.setTarget(m_seed->id, false);
        return target;
    }
    target.roleHasChanged = m_isHub != target.ranking.isHub() || m_readsStore != target.ranking.readsStore();
    m_isHub = target.ranking.isHub();
    m_readsStore = target.ranking.readsStore();
    m_outstanding.setTarget(target.ranking.source().value_or(""), m_isHub);
    return target;
}

} // namespace Brassladder::RouteServing::Routing
