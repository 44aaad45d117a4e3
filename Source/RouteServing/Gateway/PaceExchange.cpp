// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/PaceExchange.h"

#include "Common/Log.h"
#include "RouteServing/Gateway/GatewayMetrics.h"
#include "RouteServing/Gateway/PaceCodec.h"

#include <algorithm>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;

// Interval of the tables to one receiver. Half an exchange interval less than a second, because tables are part of
// messages that are sent at that interval.
static constexpr Common::Milliseconds tableInterval = 950ms;
// Interval while engines are new.
static constexpr Common::Milliseconds minTableInterval = 200ms;
// One more early table may be sent to a receiver after this time.
static constexpr Common::Milliseconds earlyTableRefill = 4000ms;
static constexpr double changedRowsPerSecond = 10;
static constexpr Common::Milliseconds updateInterval = 100ms;
// Only one change is logged in this time. The metrics show the range of all engines.
static constexpr Common::Milliseconds logInterval = 1000ms;

void PaceExchange::step(Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (now - m_updatedAt < updateInterval)
        return;
    m_updatedAt = now;
    m_paces.update(m_peers.sumOfOthers(now), now);
    logChanges(now);
    std::erase_if(m_receivers, [&](const auto& each) { return now - each.second.sentAt > Routing::paceReportMaxAge; });
    std::erase_if(m_readers, [&](const auto& each) { return now - each.second > Routing::paceReportMaxAge; });
}

void PaceExchange::logChanges(Common::TimePoint now)
{
    if (now - m_loggedAt < logInterval)
        return;
    for (const auto& change : m_paces.takeChanges(1, now)) {
        m_loggedAt = now;
        Common::log(Common::LogLevel::Info, "gateway", "engine.pace_changed",
            { { "upstream", change.upstream }, { "service", change.service }, { "slowdown_before", change.before },
                { "slowdown", change.slowdown } });
    }
}

bool PaceExchange::isDue(const std::string& receiver, Common::TimePoint now) const
{
    auto found = m_receivers.find(receiver);
    if (found == m_receivers.end())
        return true;
    const auto& state = found->second;
    auto sinceSent = now - state.sentAt;
    if (sinceSent >= tableInterval)
        return true;
    auto firstObservation = m_paces.lastFirstObservation();
    bool lacksEngine = firstObservation && *firstObservation >= state.sentAt;
    return lacksEngine && sinceSent >= minTableInterval && state.earlyTables >= 1;
}

std::vector<uint32_t> PaceExchange::changedRows(Receiver& receiver, Common::TimePoint now)
{
    auto changed = m_paces.changedSince(std::max(receiver.sentAt, receiver.changesSentAt));
    receiver.changedRows = std::min(
        maxChangedRows, receiver.changedRows + Common::toSeconds(now - receiver.changesSentAt) * changedRowsPerSecond);
    receiver.changesSentAt = now;
    std::sort(changed.begin(), changed.end());
    changed.resize(std::min(changed.size(), static_cast<size_t>(receiver.changedRows)));
    receiver.changedRows -= static_cast<double>(changed.size());
    return changed;
}

template <typename Message>
void PaceExchange::add(Message& message, const std::string& receiver, const Sum& sum, Common::TimePoint now)
{
    if (isDue(receiver, now))
        return encode(sum.all(m_paces.ownSums(now)), receiver, *message.mutable_paces(), now);
    auto changed = changedRows(m_receivers[receiver], now);
    if (changed.empty())
        return;
    auto select = [&](const auto& table) { return Routing::selectPaces(table, changed); };
    encodePaces(sum.selected(select(m_paces.ownSums(now)), select), 0, now, *message.mutable_changed_paces());
    recordSent(message.changed_paces());
}

void PaceExchange::encode(const Routing::PacesByUpstream& paces, const std::string& receiver,
    Inner::Wire::PaceTable& table, Common::TimePoint now)
{
    auto [found, isNew] = m_receivers.try_emplace(receiver);
    auto& state = found->second;
    auto sinceSent = isNew ? tableInterval : now - state.sentAt;
    if (sinceSent < tableInterval)
        state.earlyTables -= 1;
    state.earlyTables = std::min(
        maxEarlyTables, state.earlyTables + Common::toSeconds(sinceSent) / Common::toSeconds(earlyTableRefill));
    state.sentAt = now;
    state.nextRow = encodePaces(paces, state.nextRow, now, table);
    recordSent(table);
}

void PaceExchange::recordSent(const Inner::Wire::PaceTable& table)
{
    auto rows = static_cast<size_t>(table.upstreams_size());
    auto bytes = table.ByteSizeLong();
    ++m_sent.tables;
    m_sent.rows += rows;
    m_sent.bytes += bytes;
    GatewayMetrics::paceTableSent(rows, bytes);
}

void PaceExchange::addTo(Inner::Wire::KnowledgeAsk& message, const std::string& hub, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto sum = [&](auto own, const auto&... select) {
        return m_peers.sumWithSubscribers(std::move(own), now, hub, select...);
    };
    add(message, hub, { sum, sum }, now);
}

void PaceExchange::addTo(Inner::Wire::HubLoads& message, const std::string& hub, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto sum = [&](auto own, const auto&... select) {
        return m_peers.sumWithSubscribers(std::move(own), now, {}, select...);
    };
    add(message, hub, { sum, sum }, now);
}

void PaceExchange::exchange(const std::string& subscriber, const Inner::Wire::KnowledgeAsk& request,
    Inner::Wire::Knowledge& snapshot, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (request.has_paces()) {
        m_peers.recordSubscriber(subscriber, decodePaces(request.paces(), now), now);
        m_readers[subscriber] = now;
    }
    if (request.has_changed_paces())
        m_peers.updateSubscriber(subscriber, decodePaces(request.changed_paces(), now));
    if (!m_readers.contains(subscriber))
        return;
    auto sum = [&](auto own, const auto&... select) {
        return m_peers.sumForSubscriber(subscriber, std::move(own), now, select...);
    };
    add(snapshot, subscriber, { sum, sum }, now);
}

template <typename Message>
void PaceExchange::receiveFromHub(const std::string& hub, const Message& message, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    if (message.has_paces())
        m_peers.recordHub(hub, decodePaces(message.paces(), now), message.routers(), now);
    if (message.has_changed_paces())
        m_peers.updateHub(hub, decodePaces(message.changed_paces(), now));
}

void PaceExchange::receive(const std::string& hub, const Inner::Wire::Knowledge& snapshot, Common::TimePoint now)
{
    receiveFromHub(hub, snapshot, now);
}

void PaceExchange::receive(const std::string& hub, const Inner::Wire::HubLoads& report, Common::TimePoint now)
{
    receiveFromHub(hub, report, now);
}

void PaceExchange::forgetHub(const std::string& hub)
{
    std::lock_guard lock(m_mutex);
    m_peers.forgetHub(hub);
}

PaceExchange::Sent PaceExchange::sent() const
{
    std::lock_guard lock(m_mutex);
    return m_sent;
}

} // namespace Brassladder::RouteServing::Gateway
