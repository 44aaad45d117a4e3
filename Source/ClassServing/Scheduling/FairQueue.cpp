// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Scheduling/FairQueue.h"

#include "Common/Digest.h"

#include <algorithm>

namespace Brassladder::ClassServing::Scheduling {

// Maximum number of idle flows that are kept with their virtual time. If there are more, those whose virtual time does
// not exceed that of the queue are evicted.
static constexpr size_t maxIdleFlows = 8192;

uint64_t FairQueue::flowKey(const Ask& ask) { return Common::stableHash(ask.policy->name, ask.workspace); }

void FairQueue::push(WaitingRequest& waiting)
{
    uint64_t key = waiting.flowKey;
    auto [place, isNew] = m_flows.try_emplace(key);
    Flow& flow = place->second;
    flow.key = key;
    flow.weight = waiting.ask.weight;
    if (flow.queue.empty()) {
        // A flow that was idle must not be served ahead of others for the time in which it had no requests.
        flow.virtualTime = std::max(flow.virtualTime, m_virtualNow);
        m_active.insert({ flow.virtualTime, key });
    }
    waiting.flow = &flow;
    waiting.inFlow = flow.queue.insert(flow.queue.end(), &waiting);
    m_slotSeconds += waiting.slotSeconds;
    ++m_size;
    if (m_flows.size() > m_active.size() + maxIdleFlows)
        evictIdleFlows();
}

void FairQueue::remove(WaitingRequest& waiting)
{
    Flow& flow = *waiting.flow;
    flow.queue.erase(waiting.inFlow);
    m_slotSeconds = std::max(0.0, m_slotSeconds - waiting.slotSeconds);
    --m_size;
    if (flow.queue.empty())
        m_active.erase({ flow.virtualTime, flow.key });
}

WaitingRequest* FairQueue::front() const
{
    if (m_active.empty())
        return nullptr;
    return m_flows.at(m_active.begin()->second).queue.front();
}

WaitingRequest* FairQueue::lastOfLongestFlow() const
{
    const Flow* heaviest = nullptr;
    for (const auto& [time, key] : m_active) {
        const Flow& flow = m_flows.at(key);
        if (!heaviest || flow.queue.size() > heaviest->queue.size())
            heaviest = &flow;
    }
    return heaviest ? heaviest->queue.back() : nullptr;
}

void FairQueue::serve(WaitingRequest& waiting)
{
    Flow& flow = *waiting.flow;
    m_virtualNow = std::max(m_virtualNow, flow.virtualTime);
    remove(waiting);
    if (!flow.queue.empty())
        m_active.erase({ flow.virtualTime, flow.key });
    flow.virtualTime += waiting.slotSeconds / flow.weight;
    if (!flow.queue.empty())
        m_active.insert({ flow.virtualTime, flow.key });
}

void FairQueue::adjustCharge(uint64_t key, double slotSecondsDifference)
{
    auto found = m_flows.find(key);
    if (found == m_flows.end())
        return;
    Flow& flow = found->second;
    bool active = !flow.queue.empty();
    if (active)
        m_active.erase({ flow.virtualTime, key });
    flow.virtualTime += slotSecondsDifference / flow.weight;
    if (active)
        m_active.insert({ flow.virtualTime, key });
}

size_t FairQueue::flowLength(uint64_t key) const
{
    auto found = m_flows.find(key);
    return found == m_flows.end() ? 0 : found->second.queue.size();
}

void FairQueue::evictIdleFlows()
{
    std::erase_if(m_flows,
        [&](const auto& item) { return item.second.queue.empty() && item.second.virtualTime <= m_virtualNow; });
}

} // namespace Brassladder::ClassServing::Scheduling
