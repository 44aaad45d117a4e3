// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Scheduling/ShardScheduler.h"

#include <algorithm>

namespace Brassladder::ClassServing::Scheduling {

using Common::ErrorKind;
using Common::Milliseconds;
using namespace std::chrono_literals;

// A waiting request preempts a lower tier only after its target divided by this, because a slot may become free
// without a preemption.
static constexpr int preemptionDivisor = 8;
// Bounds of the retry time in refusals.
static constexpr Milliseconds minRetryAfter = 200ms;
static constexpr Milliseconds maxRetryAfter = 60s;

void ShardScheduler::ask(const Ask& ask, TimePoint now, Decisions& decisions)
{
    if (m_waiting.contains(ask.id))
        return;
    if (auto running = m_running.find(ask.id); running != m_running.end()) {
        decisions.push_back(Grant { ask.id, running->second.upstream, running->second.guaranteed });
        return;
    }
    if (m_ledger.isEmpty()) {
        decisions.push_back(
            Refusal { ask.id, ErrorKind::NoUpstream, Common::traits(ErrorKind::NoUpstream).retryAfter });
        return;
    }
    const auto& policy = *ask.policy;
    if (!ask.pinned.empty() && !m_ledger.isKnown(ask.pinned)) {
        decisions.push_back(Refusal { ask.id, ErrorKind::UpstreamLostState, Milliseconds(0) });
        return;
    }
    double slotSeconds = m_estimator.expectedSlotSeconds(policy);
    uint64_t flowKey = FairQueue::flowKey(ask);
    m_estimator.recordArrival(policy.tier, slotSeconds, now);
    auto wait
        = std::min(m_estimator.expectedWait(m_tiers, policy.tier, flowKey, slotSeconds, m_ledger.capacity(now), now),
            guaranteedWait(policy, slotSeconds));
    // A paused request was accepted before, so its deadline is not checked again.
    if (ask.pinned.empty() && now + wait > ask.arrived + policy.maxWait) {
        decisions.push_back(Refusal { ask.id, ErrorKind::DeadlineUnreachable, retryAfterFor(wait, policy) });
        return;
    }
    if (m_waiting.size() >= m_options.maxWaiting && !refuseLowerTier(policy.tier, decisions)) {
        decisions.push_back(Refusal { ask.id, ErrorKind::QueueFull, retryAfterFor(wait, policy) });
        return;
    }
    enqueue(ask, flowKey, slotSeconds);
}

Duration ShardScheduler::guaranteedWait(const ClassPolicy& policy, double slotSeconds) const
{
    if (!policy.tier || !m_options.guaranteedSlots)
        return Duration::max();
    // Waiting classes share the guaranteed slots in turn. Each class uses at most one of them at a time.
    size_t classes = 1;
    size_t ahead = 1; // The request that currently occupies a slot.
    for (const auto& [name, queue] : m_classes) {
        if (name == policy.name)
            ahead += queue.waiting.size() + queue.runningGuaranteed;
        else if (!queue.waiting.empty() && queue.policy->tier)
            ++classes;
    }
    size_t turns = (classes + m_options.guaranteedSlots - 1) / m_options.guaranteedSlots;
    auto turnsTime = std::chrono::duration<double>(static_cast<double>(ahead * turns) * slotSeconds);
    return policy.guaranteeAfter + std::chrono::duration_cast<Duration>(turnsTime);
}

// Refuses a waiting request of the lowest tier below `tier`. Returns false if there is none.
bool ShardScheduler::refuseLowerTier(Tier tier, Decisions& decisions)
{
    for (Tier lowest = tierCount - 1; lowest > tier; --lowest) {
        WaitingRequest* last = m_tiers[lowest].lastOfLongestFlow();
        if (!last)
            continue;
        decisions.push_back(Refusal { last->ask.id, ErrorKind::QueueFull, retryAfterFor(0s, *last->ask.policy) });
        dequeue(*last);
        return true;
    }
    return false;
}

Milliseconds ShardScheduler::retryAfterFor(Duration wait, const ClassPolicy& policy) const
{
    // After this time the expected wait has decreased to the maximum wait of the class.
    auto excess = std::chrono::duration_cast<Milliseconds>(wait - policy.maxWait);
    return std::clamp(excess, minRetryAfter, maxRetryAfter);
}

ShardScheduler::ClassQueue& ShardScheduler::classQueue(const ClassPolicy& policy)
{
    auto& queue = m_classes[policy.name];
    queue.policy = &policy;
    return queue;
}

void ShardScheduler::enqueue(const Ask& ask, uint64_t flowKey, double slotSeconds)
{
    auto& waiting = m_waiting[ask.id];
    waiting.ask = ask;
    waiting.slotSeconds = slotSeconds;
    waiting.flowKey = flowKey;
    waiting.deadline = ask.arrived + ask.policy->maxWait;
    if (!ask.pinned.empty()) {
        auto& pinned = m_pinned[ask.policy->tier];
        waiting.inFlow = pinned.insert(pinned.end(), &waiting);
    } else {
        m_tiers[ask.policy->tier].push(waiting);
        waiting.inDeadlines = m_deadlines.emplace(waiting.deadline, &waiting);
    }
    auto& queue = classQueue(*ask.policy);
    waiting.inClass = queue.waiting.insert(queue.waiting.end(), &waiting);
}

void ShardScheduler::dequeue(WaitingRequest& waiting)
{
    AskId id = waiting.ask.id;
    if (waiting.flow) {
        m_tiers[waiting.ask.policy->tier].remove(waiting);
        m_deadlines.erase(waiting.inDeadlines);
    } else
        m_pinned[waiting.ask.policy->tier].erase(waiting.inFlow);
    m_classes[waiting.ask.policy->name].waiting.erase(waiting.inClass);
    m_waiting.erase(id);
}

void ShardScheduler::restore(const Ask& ask, std::string_view upstream, bool guaranteed, TimePoint now)
{
    if (auto waiting = m_waiting.find(ask.id); waiting != m_waiting.end())
        dequeue(waiting->second);
    if (m_running.contains(ask.id))
        return;
    run(ask, FairQueue::flowKey(ask), m_estimator.expectedSlotSeconds(*ask.policy), upstream, guaranteed, now);
}

void ShardScheduler::run(
    const Ask& ask, uint64_t flowKey, double slotSeconds, std::string_view upstream, bool guaranteed, TimePoint now)
{
    auto& queue = classQueue(*ask.policy);
    RunningRequest running { ask.policy, &queue, std::string(upstream), now, flowKey, slotSeconds, guaranteed, false };
    m_ledger.start(upstream);
    ++m_runningByTier[ask.policy->tier];
    if (ask.policy->preemptible && !guaranteed)
        m_preemptible[ask.policy->tier].insert({ running.started, ask.id });
    if (guaranteed) {
        ++m_guaranteedInUse;
        ++queue.runningGuaranteed;
    }
    m_running.emplace(ask.id, std::move(running));
}

void ShardScheduler::release(const Release& release, TimePoint now)
{
    if (auto waiting = m_waiting.find(release.id); waiting != m_waiting.end()) {
        dequeue(waiting->second);
        return;
    }
    auto found = m_running.find(release.id);
    if (found == m_running.end())
        return;
    RunningRequest& running = found->second;
    const auto& policy = *running.policy;
    auto held = now - running.started;
    m_ledger.finish(running.upstream, release, now);
    --m_runningByTier[policy.tier];
    m_preemptible[policy.tier].erase({ running.started, release.id });
    if (running.preempting)
        --m_preempting;
    if (running.guaranteed) {
        --m_guaranteedInUse;
        --running.classQueue->runningGuaranteed;
    }
    m_tiers[policy.tier].adjustCharge(running.flowKey, Common::toSeconds(held) - running.slotSeconds);
    if (release.outcome == SlotOutcome::Completed)
        m_estimator.observe(policy, held);
    m_running.erase(found);
}

void ShardScheduler::decide(TimePoint now, Decisions& decisions)
{
    expire(now, decisions);
    if (m_waiting.empty())
        return;
    if (now >= m_collectionEnd)
        grantGuaranteed(now, decisions);
    for (Tier tier = 0; tier < tierCount; ++tier) {
        if (!mayGrant(tier, now))
            break;
        grantPinned(tier, now, decisions);
        grantTier(tier, now, decisions);
        // A lower tier gets no slot while a higher one is waiting. Paused requests that wait for their upstream do not
        // block lower tiers.
        if (!m_tiers[tier].isEmpty())
            break;
    }
    if (m_options.preemption)
        preempt(now, decisions);
}

void ShardScheduler::expire(TimePoint now, Decisions& decisions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        WaitingRequest& late = *m_deadlines.begin()->second;
        decisions.push_back(
            Refusal { late.ask.id, ErrorKind::WaitExpired, Common::traits(ErrorKind::WaitExpired).retryAfter });
        dequeue(late);
    }
}

// Returns the request that has waited longest among the first requests of classes that may use a guaranteed slot now,
// or nullptr. These classes are below the highest tier, have waited longer than guaranteeAfter and hold no guaranteed
// slot.
WaitingRequest* ShardScheduler::longestWaitPastBound(TimePoint now)
{
    WaitingRequest* longest = nullptr;
    for (auto& [name, classQueue] : m_classes) {
        if (classQueue.waiting.empty() || classQueue.runningGuaranteed || !classQueue.policy->tier)
            continue;
        WaitingRequest* first = classQueue.waiting.front();
        if (now - first->ask.arrived < classQueue.policy->guaranteeAfter)
            continue;
        if (!longest || first->ask.arrived < longest->ask.arrived)
            longest = first;
    }
    return longest;
}

// Grants guaranteed slots, the longest wait first.
void ShardScheduler::grantGuaranteed(TimePoint now, Decisions& decisions)
{
    while (m_guaranteedInUse < m_options.guaranteedSlots) {
        WaitingRequest* longest = longestWaitPastBound(now);
        if (!longest)
            return;
        std::string upstream = longest->ask.pinned.empty() ? m_ledger.pick(longest->ask, now) : longest->ask.pinned;
        bool room = longest->ask.pinned.empty() ? !upstream.empty() : m_ledger.hasRoomToResume(upstream, now);
        if (!room)
            return;
        grant(*longest, upstream, true, now, decisions);
    }
}

// A paused generation resumes on the upstream that has its state, even if that upstream is leaving.
void ShardScheduler::grantPinned(Tier tier, TimePoint now, Decisions& decisions)
{
    auto& pinned = m_pinned[tier];
    for (auto place = pinned.begin(); place != pinned.end();) {
        WaitingRequest& waiting = **place++;
        std::string upstream = waiting.ask.pinned;
        if (!m_ledger.isKnown(upstream)) {
            decisions.push_back(Refusal { waiting.ask.id, ErrorKind::UpstreamLostState, Milliseconds(0) });
            dequeue(waiting);
            continue;
        }
        if (m_ledger.hasRoomToResume(upstream, now))
            grant(waiting, upstream, false, now, decisions);
    }
}

void ShardScheduler::grantTier(Tier tier, TimePoint now, Decisions& decisions)
{
    while (WaitingRequest* next = m_tiers[tier].front()) {
        std::string upstream = m_ledger.pick(next->ask, now);
        if (upstream.empty())
            return;
        grant(*next, upstream, false, now, decisions);
    }
}

void ShardScheduler::grant(
    WaitingRequest& waiting, const std::string& upstream, bool guaranteed, TimePoint now, Decisions& decisions)
{
    Ask ask = waiting.ask;
    uint64_t flowKey = waiting.flowKey;
    double slotSeconds = waiting.slotSeconds;
    if (waiting.flow) {
        m_tiers[ask.policy->tier].serve(waiting);
        m_deadlines.erase(waiting.inDeadlines);
        m_classes[ask.policy->name].waiting.erase(waiting.inClass);
        m_waiting.erase(ask.id);
    } else {
        dequeue(waiting);
    }
    m_ledger.rememberPrefix(ask.prefix, upstream);
    run(ask, flowKey, slotSeconds, upstream, guaranteed, now);
    decisions.push_back(Grant { ask.id, upstream, guaranteed });
}

// A tier is due if its next request has waited for the target divided by preemptionDivisor. Preempts requests of lower
// tiers until one preemption is in progress for each waiting request of the due tiers.
void ShardScheduler::preempt(TimePoint now, Decisions& decisions)
{
    uint32_t wanted = 0;
    for (Tier tier = 0; tier + 1u < tierCount; ++tier) {
        if (!mayGrant(tier, now))
            return;
        WaitingRequest* next = m_tiers[tier].front();
        if (!next || now - next->ask.arrived < next->ask.policy->target / preemptionDivisor)
            continue;
        wanted += static_cast<uint32_t>(m_tiers[tier].size());
        while (m_preempting < wanted) {
            const AskId* id = victim(tier, now);
            if (!id)
                break;
            auto& running = m_running.at(*id);
            running.preempting = true;
            ++m_preempting;
            decisions.push_back(Preemption { *id });
            m_preemptible[running.policy->tier].erase({ running.started, *id });
        }
    }
}

const AskId* ShardScheduler::victim(Tier above, TimePoint now) const
{
    for (Tier lowest = tierCount - 1; lowest > above; --lowest) {
        const auto& candidates = m_preemptible[lowest];
        auto found = std::find_if(candidates.rbegin(), candidates.rend(),
            [&](const RunningKey& key) { return m_ledger.acceptsNewRequests(m_running.at(key.second).upstream, now); });
        if (found != candidates.rend())
            return &found->second;
    }
    return nullptr;
}

void ShardScheduler::dropEntry(uint64_t entry, TimePoint now)
{
    std::vector<AskId> gone;
    for (const auto& [id, waiting] : m_waiting) {
        if (id.entry == entry)
            gone.push_back(id);
    }
    for (const auto& [id, running] : m_running) {
        if (id.entry == entry)
            gone.push_back(id);
    }
    for (const auto& id : gone)
        release({ id, SlotOutcome::Cancelled, 0, {} }, now);
}

} // namespace Brassladder::ClassServing::Scheduling
