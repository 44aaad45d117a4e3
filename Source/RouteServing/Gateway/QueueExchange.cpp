// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/QueueExchange.h"

#include "Common/Log.h"

#include <algorithm>
#include <limits>

namespace Brassladder::RouteServing::Gateway {

using Inner::Wire::QueueTable;

static uint32_t saturated(uint64_t value)
{
    return static_cast<uint32_t>(std::min<uint64_t>(value, std::numeric_limits<uint32_t>::max()));
}

void encodeQueues(const Routing::LoadsByQueue& loads, QueueTable& table)
{
    for (const auto& [key, load] : loads) {
        table.add_services(key.service);
        table.add_ranks(key.rank);
        table.add_waiting(saturated(load.waiting));
        table.add_waiting_prefill_tokens(saturated(load.waitingPrefillTokens));
        table.add_running(saturated(load.running));
        table.add_remaining_output_tokens(saturated(load.remainingOutputTokens));
        table.add_held(saturated(load.held));
    }
}

Routing::LoadsByQueue decodeQueues(const QueueTable& table)
{
    auto rows = table.services_size();
    bool hasEqualColumns = table.ranks_size() == rows && table.waiting_size() == rows
        && table.waiting_prefill_tokens_size() == rows && table.running_size() == rows
        && table.remaining_output_tokens_size() == rows && table.held_size() == rows;
    if (!hasEqualColumns) {
        Common::log(Common::LogLevel::Warning, "gateway", "queues.unreadable", { { "rows", rows } });
        return {};
    }
    Routing::LoadsByQueue loads;
    for (int row = 0; row < rows; ++row)
        loads[{ table.services(row), table.ranks(row) }] = { table.waiting(row), table.waiting_prefill_tokens(row),
            table.running(row), table.remaining_output_tokens(row), table.held(row) };
    return loads;
}

void QueueExchange::addTo(Inner::Wire::KnowledgeAsk& message, const std::string& hub, Common::TimePoint now) const
{
    encodeQueues(m_queues.sumWithSubscribers(now, hub), *message.mutable_queues());
}

void QueueExchange::addTo(Inner::Wire::HubLoads& message, Common::TimePoint now) const
{
    encodeQueues(m_queues.sumWithSubscribers(now), *message.mutable_queues());
}

void QueueExchange::addTo(Inner::Wire::Knowledge& message, const std::string& subscriber, Common::TimePoint now) const
{
    encodeQueues(m_queues.sumForSubscriber(subscriber, now), *message.mutable_queues());
}

void QueueExchange::receive(const std::string& from, const Inner::Wire::KnowledgeAsk& message, Common::TimePoint now)
{
    if (message.has_queues())
        m_queues.recordSubscriber(from, decodeQueues(message.queues()), now);
}

void QueueExchange::receive(const std::string& from, const Inner::Wire::HubLoads& message, Common::TimePoint now)
{
    if (message.has_queues())
        m_queues.recordHub(from, decodeQueues(message.queues()), message.routers(), now);
}

void QueueExchange::receive(const std::string& from, const Inner::Wire::Knowledge& message, Common::TimePoint now)
{
    if (message.has_queues())
        m_queues.recordHub(from, decodeQueues(message.queues()), message.routers(), now);
}

} // namespace Brassladder::RouteServing::Gateway
