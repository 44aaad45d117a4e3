// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/FleetQueues.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

void addLoads(LoadsByQueue& sum, const LoadsByQueue& added)
{
    for (const auto& [key, load] : added) {
        auto& total = sum[key];
        total.waiting += load.waiting;
        total.waitingPrefillTokens += load.waitingPrefillTokens;
        total.running += load.running;
        total.remainingOutputTokens += load.remainingOutputTokens;
        total.held += load.held;
    }
}

FleetQueues::FleetQueues()
    : m_peers(loadReportMaxAge)
{
}

FleetQueues::Number FleetQueues::begin(QueueKey key, const ExpectedWork& work, bool hasEvents, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_generations.emplace(m_next, Generation { key, work, hasEvents, now });
    return m_next++;
}

void FleetQueues::recordFirstEvent(Number number, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto found = m_generations.find(number);
    if (found == m_generations.end() || found->second.hasEvents)
        return;
    found->second.hasEvents = true;
    found->second.firstEvent = now;
}

void FleetQueues::end(Number number)
{
    std::lock_guard lock(m_mutex);
    m_generations.erase(number);
}

void FleetQueues::hold(QueueKey key)
{
    std::lock_guard lock(m_mutex);
    ++m_held[key];
}

void FleetQueues::release(QueueKey key)
{
    std::lock_guard lock(m_mutex);
    auto found = m_held.find(key);
    if (found != m_held.end() && --found->second == 0)
        m_held.erase(found);
}

void FleetQueues::recordSubscriber(const std::string& id, LoadsByQueue table, Common::TimePoint now)
{
    std::lock_guard lock(m_mutex);
    m_peers.recordSubscriber(id, std::move(table), now);
}

void FleetQueues::recordHub(const std::string& id, LoadsByQueue table, unsigned routers, Common::TimePoint now)
{
    if (!routers)
        return;
    std::lock_guard lock(m_mutex);
    m_peers.recordHub(id, std::move(table), routers, now);
}

// Assumes a steady pace after the first event. A generation that takes longer than expected counts as one token.
uint64_t FleetQueues::remainingOutput(const Generation& generation, Common::TimePoint now)
{
    const auto& work = generation.work;
    if (!generation.hasEvents || !work.outputTokens)
        return work.outputTokens;
    // Half of the output on average, if the pace is unknown.
    double done = 0.5;
    if (work.decodeTime.count() > 0)
        done = Common::toSeconds(now - generation.firstEvent) / Common::toSeconds(work.decodeTime);
    auto remaining = static_cast<double>(work.outputTokens) * (1 - std::clamp(done, 0.0, 1.0));
    return std::max<uint64_t>(1, static_cast<uint64_t>(remaining));
}

LoadsByQueue FleetQueues::ownLocked(Common::TimePoint now) const
{
    LoadsByQueue loads;
    for (const auto& [number, generation] : m_generations) {
        auto& load = loads[generation.key];
        load.remainingOutputTokens += remainingOutput(generation, now);
        if (generation.hasEvents) {
            ++load.running;
        } else {
            ++load.waiting;
            load.waitingPrefillTokens += generation.work.prefillTokens;
        }
    }
    for (const auto& [key, count] : m_held)
        loads[key].held += count;
    return loads;
}

LoadsByQueue FleetQueues::own(Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return ownLocked(now);
}

LoadsByQueue FleetQueues::all(Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    auto sum = m_peers.sumOfOthers(now);
    addLoads(sum, ownLocked(now));
    return sum;
}

LoadsByQueue FleetQueues::sumWithSubscribers(Common::TimePoint now, const std::string& target) const
{
    std::lock_guard lock(m_mutex);
    return m_peers.sumWithSubscribers(ownLocked(now), now, target);
}

LoadsByQueue FleetQueues::sumForSubscriber(const std::string& id, Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return m_peers.sumForSubscriber(id, ownLocked(now), now);
}

unsigned FleetQueues::otherRouters(Common::TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return m_peers.subscriberRouters(now) + m_peers.hubRouters(now);
}

} // namespace Brassladder::RouteServing::Routing
