// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/QuotaExchange.h"

#include "Common/Digest.h"
#include "Common/Log.h"
#include "RouteServing/Gateway/SnapshotCodec.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Gateway {

using Inner::Wire::QuotaTable;
using Routing::SendQuotas;
using namespace std::chrono_literals;

// A hub that has sent no message for this long (ten exchange intervals) is not chosen to assign limits.
static constexpr Common::Milliseconds hubTimeout = 1000ms;
// A longer gap between two steps means that the process was paused.
static constexpr Common::Milliseconds maxStepGap = 500ms;

// Hubs

void QuotaExchange::updateHubs(std::span<const std::string> hubs, Common::TimePoint now)
{
    std::vector<std::string> reachable { m_self };
    for (const auto& hub : hubs) {
        auto found = m_hubContacts.find(hub);
        if (found != m_hubContacts.end() && now - found->second.lastReceived < hubTimeout)
            reachable.push_back(hub);
    }
    if (reachable != m_reachableHubs) {
        m_reachableHubs = std::move(reachable);
        m_stableSince.hubs = now;
    }
    if (!m_lastStep || now - *m_lastStep > maxStepGap)
        m_stableSince = { now, now };
    m_lastStep = now;
}

std::string_view QuotaExchange::ownerOf(Key key) const
{
    return *std::max_element(m_reachableHubs.begin(), m_reachableHubs.end(),
        [&](const auto& a, const auto& b) { return Common::stableHash(a, key) < Common::stableHash(b, key); });
}

void QuotaExchange::stepAsHub(std::span<const std::string> hubs, double reachableShare, Common::TimePoint now)
{
    m_quotas.evictExpired(now);
    std::lock_guard lock(m_mutex);
    updateHubs(hubs, now);
    if (!hasKnownLimits())
        return m_limitStates.clear();
    auto known = m_quotas.knownLimits(now);
    std::erase_if(m_limitStates, [&](const auto& each) {
        return std::none_of(known.begin(), known.end(), [&](const auto& one) { return one.key == each.first; });
    });
    for (const auto& each : known) {
        if (each.rate)
            stepAsHub(each, reachableShare, now);
    }
}

void QuotaExchange::stepAsHub(const SendQuotas::KnownLimit& known, double reachableShare, Common::TimePoint now)
{
    auto& state = m_limitStates[known.key];
    state.owner = ownerOf(known.key);
    bool assigns = state.ownership.update(state.owner, m_self, m_stableSince, now);
    auto& own = m_received[m_self];
    own.incarnation = m_incarnation;
    state.routerAssigner.record(m_self, { m_incarnation, known.wanted, own.counts[known.key] }, now);
    if (assigns)
        assignLimit(state, *known.rate, reachableShare, now);
    distributePool(known.key, state, now);
}

// Assigns the available requests of the limit to the hubs that request them, including this hub.
void QuotaExchange::assignLimit(
    HubLimitState& state, double requestsPerSecond, double reachableShare, Common::TimePoint now)
{
    auto wanted = state.routerAssigner.wanted(now);
    auto inPool = state.pool.size(now);
    auto before = state.hubAssigner.granted(m_self, m_incarnation);
    state.hubAssigner.record(m_self, { m_incarnation, wanted - std::min(wanted, inPool), before }, now);
    state.bucket.refill(requestsPerSecond, reachableShare, now);
    state.bucket.spend(state.hubAssigner.assign(state.bucket.available(), now));
    state.pool.add(static_cast<unsigned>(state.hubAssigner.granted(m_self, m_incarnation) - before), now);
}

// Divides the pool between this hub and its subscribers. The validity of this hub's own quotas starts now.
void QuotaExchange::distributePool(Key key, HubLimitState& state, Common::TimePoint now)
{
    auto& received = m_received[m_self].counts[key];
    state.pool.take(state.routerAssigner.assign(state.pool.size(now), now));
    auto granted = state.routerAssigner.granted(m_self, m_incarnation);
    m_quotas.addGrant(key, static_cast<unsigned>(granted - received), now + Routing::quotaValidity);
    received = granted;
}

bool QuotaExchange::wasRecentlyPaused(Common::TimePoint now) const
{
    return !m_lastStep || now - *m_lastStep > maxStepGap || now - m_stableSince.running < maxStepGap;
}

void QuotaExchange::stepAsSubscriber(Common::TimePoint now)
{
    m_quotas.evictExpired(now);
    std::lock_guard lock(m_mutex);
    m_limitStates.clear();
    m_lastStep.reset();
}

// Messages

void QuotaExchange::addLimit(const SendQuotas::KnownLimit& known, QuotaTable& table, Common::TimePoint now)
{
    table.add_upstreams(known.key);
    table.add_limits(static_cast<uint32_t>(std::llround(known.limit.perSecond * encodedUnitsPerRate)));
    table.add_named_ages_ms(encodeEventTime(known.limit.statedAt, now));
    table.add_unnamed_ages_ms(encodeEventTime(known.limit.unstatedRequestSentAt, now));
}

bool QuotaExchange::mergeLimits(const QuotaTable& table, Common::TimePoint sent)
{
    auto rows = table.upstreams_size();
    if (table.limits_size() != rows || table.named_ages_ms_size() != rows || table.unnamed_ages_ms_size() != rows) {
        Common::log(Common::LogLevel::Warning, "gateway", "quotas.unreadable", { { "rows", rows } });
        return false;
    }
    for (int row = 0; row < rows; ++row)
        m_quotas.merge(table.upstreams(row),
            { table.limits(row) / encodedUnitsPerRate, decodeEventTime(table.named_ages_ms(row), sent),
                decodeEventTime(table.unnamed_ages_ms(row), sent) });
    return true;
}

uint64_t QuotaExchange::received(const std::string& from, Key key) const
{
    auto peer = m_received.find(from);
    if (peer == m_received.end())
        return 0;
    auto count = peer->second.counts.find(key);
    return count == peer->second.counts.end() ? 0 : count->second;
}

unsigned QuotaExchange::recordGranted(const Inner::Mesh::Sender& from, const QuotaTable& table, int row)
{
    auto& received = m_received[from.id];
    if (received.incarnation != from.incarnation)
        received = { from.incarnation, {} };
    auto& count = received.counts[table.upstreams(row)];
    auto granted = table.granted(row);
    auto newRequests = granted - std::min(granted, count);
    count = std::max(count, granted);
    return static_cast<unsigned>(newRequests);
}

// A total that an earlier process of this router received does not apply to this one, so it counts as 0.
Routing::QuotaAssigner::Demand QuotaExchange::demandOf(
    const Inner::Mesh::Sender& from, const QuotaTable& table, int row) const
{
    bool isOfThisProcess = table.received_from() == m_incarnation;
    return { from.incarnation, table.wanted(row), isOfThisProcess ? table.received(row) : 0 };
}

QuotaTable QuotaExchange::tableFor(const std::string& receiver) const
{
    QuotaTable table;
    if (auto peer = m_received.find(receiver); peer != m_received.end())
        table.set_received_from(peer->second.incarnation);
    return table;
}

void QuotaExchange::addTo(Inner::Wire::KnowledgeAsk& message, const std::string& hub, Common::TimePoint now)
{
    if (!hasKnownLimits())
        return;
    std::lock_guard lock(m_mutex);
    auto table = tableFor(hub);
    for (const auto& each : m_quotas.knownLimits(now)) {
        addLimit(each, table, now);
        table.add_wanted(each.wanted);
        table.add_received(received(hub, each.key));
    }
    *message.mutable_quotas() = std::move(table);
}

void QuotaExchange::addTo(Inner::Wire::Knowledge& message, const Inner::Mesh::Sender& subscriber, Common::TimePoint now)
{
    if (!hasKnownLimits())
        return;
    std::lock_guard lock(m_mutex);
    QuotaTable table;
    table.set_granted_to(subscriber.incarnation);
    for (const auto& each : m_quotas.knownLimits(now)) {
        addLimit(each, table, now);
        table.add_granted(m_limitStates[each.key].routerAssigner.granted(subscriber.id, subscriber.incarnation));
    }
    *message.mutable_quotas() = std::move(table);
}

void QuotaExchange::addTo(Inner::Wire::HubLoads& message, const std::string& hub, Common::TimePoint now)
{
    if (!hasKnownLimits())
        return;
    std::lock_guard lock(m_mutex);
    auto table = tableFor(hub);
    auto incarnation = m_hubContacts[hub].incarnation;
    table.set_granted_to(incarnation);
    for (const auto& each : m_quotas.knownLimits(now)) {
        auto& state = m_limitStates[each.key];
        auto wanted = state.routerAssigner.wanted(now);
        auto inPool = state.pool.size(now);
        addLimit(each, table, now);
        table.add_wanted(state.owner == hub ? wanted - std::min(wanted, inPool) : 0);
        table.add_received(received(hub, each.key));
        table.add_granted(state.hubAssigner.granted(hub, incarnation));
    }
    *message.mutable_quotas() = std::move(table);
}

void QuotaExchange::receive(
    const Inner::Mesh::Sender& from, const Inner::Wire::KnowledgeAsk& message, Common::TimePoint now)
{
    const auto& table = message.quotas();
    if (!message.has_quotas() || !mergeLimits(table, now - maxTransitTime))
        return;
    if (table.wanted_size() != table.upstreams_size() || table.received_size() != table.upstreams_size())
        return;
    std::lock_guard lock(m_mutex);
    for (int row = 0; row < table.upstreams_size(); ++row)
        m_limitStates[table.upstreams(row)].routerAssigner.record(from.id, demandOf(from, table, row), now);
}

void QuotaExchange::receive(
    const Inner::Mesh::Sender& from, const Inner::Wire::Knowledge& message, Common::TimePoint requestedAt)
{
    const auto& table = message.quotas();
    if (!message.has_quotas() || !mergeLimits(table, requestedAt))
        return;
    if (table.granted_size() != table.upstreams_size() || table.granted_to() != m_incarnation)
        return;
    std::lock_guard lock(m_mutex);
    for (int row = 0; row < table.upstreams_size(); ++row)
        m_quotas.addGrant(table.upstreams(row), recordGranted(from, table, row), requestedAt + Routing::quotaValidity);
}

void QuotaExchange::receive(
    const Inner::Mesh::Sender& from, const Inner::Wire::HubLoads& message, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_hubContacts[from.id] = { from.incarnation, now };
    const auto& table = message.quotas();
    if (!message.has_quotas() || !mergeLimits(table, now - maxTransitTime))
        return;
    auto rows = table.upstreams_size();
    if (table.wanted_size() != rows || table.received_size() != rows || table.granted_size() != rows)
        return;
    for (int row = 0; row < rows; ++row) {
        auto& state = m_limitStates[table.upstreams(row)];
        state.hubAssigner.record(from.id, demandOf(from, table, row), now);
        if (table.granted_to() != m_incarnation)
            continue;
        auto granted = recordGranted(from, table, row);
        if (!wasRecentlyPaused(now))
            state.pool.add(granted, now);
    }
}

} // namespace Brassladder::RouteServing::Gateway
