// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Dispatch/GrantClient.h"

namespace Brassladder::ClassServing::Dispatch {

using Common::ErrorKind;
using Common::Result;
using Inner::Wire::Item;
using namespace std::chrono_literals;

// A home that does not respond to a request of the highest tier within this time is reported as unresponsive.
static constexpr Common::Milliseconds homeResponseTimeout = 500ms;
// A home responds to each request by its deadline. The additional time covers the replacement of a lost home.
static constexpr Common::Milliseconds homeReplacementGrace = 2s;
// Waiting requests are resent at this interval, in case the home dropped the state of this router.
static constexpr Common::Duration waitingResendInterval = 2s;

void RequestSignal::setOnPreempt(std::function<void()> hook)
{
    std::lock_guard lock(m_mutex);
    m_onPreempt = std::move(hook);
    if (m_onPreempt && std::exchange(m_preemptionPending, false))
        m_onPreempt();
}

void RequestSignal::preempt(uint64_t sequence)
{
    std::lock_guard lock(m_mutex);
    if (sequence != m_sequence)
        return;
    // The home may preempt the request before its fiber has set the hook.
    if (m_onPreempt)
        m_onPreempt();
    else
        m_preemptionPending = true;
}

void RequestSignal::beginWait(uint64_t sequence)
{
    std::lock_guard lock(m_mutex);
    m_outcome.reset();
    m_queued = false;
    m_sequence = sequence;
    m_preemptionPending = false;
}

void RequestSignal::cancel()
{
    std::lock_guard lock(m_mutex);
    m_cancelled = true;
    m_changed.notify_all();
}

Item GrantClient::askItem(uint64_t sequence, const Pending& pending, Common::TimePoint now) const
{
    const auto& request = pending.request;
    Item item;
    auto& ask = *item.mutable_ask();
    ask.set_sequence(sequence);
    ask.set_pool(request.shard.pool);
    ask.set_shard(request.shard.index);
    ask.set_request_class(request.requestClass->policy.name);
    ask.set_workspace(request.workspace);
    ask.set_prefix(request.prefixHash);
    // A request may have arrived after `now` was read.
    auto waited = std::max(Common::Milliseconds(0), Common::toMilliseconds(now - request.arrivedAt));
    ask.set_waited_ms(static_cast<uint32_t>(waited.count()));
    ask.set_avoid(request.avoid);
    ask.set_worker(pending.upstream.empty() ? request.pinned : pending.upstream);
    ask.set_running(!pending.upstream.empty());
    ask.set_guaranteed(pending.guaranteed);
    return item;
}

static Item releaseItem(uint64_t sequence, const ShardKey& shard, const Scheduling::Release& release)
{
    Item item;
    auto& message = *item.mutable_release();
    message.set_sequence(sequence);
    message.set_pool(shard.pool);
    message.set_shard(shard.index);
    message.set_outcome(static_cast<uint32_t>(release.outcome));
    message.set_tokens(release.tokens);
    auto micros = std::chrono::duration_cast<std::chrono::microseconds>(release.perToken).count();
    message.set_per_token_us(static_cast<uint32_t>(micros));
    return item;
}

static Item resetItem(const ShardKey& shard)
{
    Item item;
    item.mutable_reset()->set_pool(shard.pool);
    item.mutable_reset()->set_shard(shard.index);
    return item;
}

Result<Slot> GrantClient::acquire(const SlotRequest& request, const std::shared_ptr<RequestSignal>& signal)
{
    uint64_t sequence = sendAsk(request, signal);
    auto outcome = awaitOutcome(sequence, request, *signal);
    if (isError(outcome))
        withdraw(sequence);
    return outcome;
}

uint64_t GrantClient::sendAsk(const SlotRequest& request, const std::shared_ptr<RequestSignal>& signal)
{
    auto now = Common::now();
    uint64_t sequence = 0;
    std::string home;
    Item item;
    std::lock_guard sendOrderLock(m_sendOrderMutex);
    {
        std::lock_guard lock(m_mutex);
        // The view is read under the lock. If it changes concurrently, either the new view is read here, or
        // onViewChanged finds this request.
        home = homeOf(*m_hooks.view(), request.shard);
        sequence = ++m_lastSequence;
        auto& pending = m_pending[sequence];
        pending = { request, home, signal, {}, false, now };
        ++m_outstanding[request.shard];
        item = askItem(sequence, pending, now);
    }
    // Must precede the send, because a local home may respond during it.
    signal->beginWait(sequence);
    m_hooks.send(home, std::move(item));
    return sequence;
}

Result<Slot> GrantClient::awaitOutcome(uint64_t sequence, const SlotRequest& request, RequestSignal& signal)
{
    const auto& policy = request.requestClass->policy;
    auto deadline = std::max(request.arrivedAt + policy.maxWait, Common::now()) + homeReplacementGrace;
    auto settled = [&] { return signal.m_outcome.has_value() || signal.m_cancelled; };
    std::unique_lock lock(signal.m_mutex);
    bool urgent = policy.tier == 0;
    while (!settled()) {
        auto timeout = urgent && !signal.m_queued ? Common::now() + homeResponseTimeout : deadline;
        if (signal.m_changed.wait_until(lock, timeout, settled))
            break;
        if (Common::now() < deadline) {
            // The home may have confirmed meanwhile that the request is queued.
            if (signal.m_queued)
                continue;
            lock.unlock();
            m_hooks.onHomeUnresponsive(homeOfPending(sequence));
            lock.lock();
            continue;
        }
        // A paused request has no deadline; it waits until its home grants or refuses it.
        if (!request.pinned.empty()) {
            deadline = Common::now() + homeReplacementGrace;
            continue;
        }
        return Common::makeError(ErrorKind::WaitExpired, "no home granted or refused a slot in time");
    }
    if (signal.m_outcome)
        return *signal.m_outcome;
    return Common::makeError(ErrorKind::CallerGone, "the caller disconnected while the request waited for a slot");
}

std::string GrantClient::homeOfPending(uint64_t sequence) const
{
    std::lock_guard lock(m_mutex);
    return m_pending.at(sequence).home;
}

void GrantClient::withdraw(uint64_t sequence)
{
    std::string home;
    ShardKey shard;
    std::lock_guard sendOrderLock(m_sendOrderMutex);
    {
        std::lock_guard lock(m_mutex);
        auto found = m_pending.find(sequence);
        if (found == m_pending.end())
            return;
        home = found->second.home;
        shard = found->second.request.shard;
        --m_outstanding[shard];
        m_pending.erase(found);
    }
    m_hooks.send(home, releaseItem(sequence, shard, { {}, Scheduling::SlotOutcome::Cancelled, 0, {} }));
}

void GrantClient::release(const Slot& slot, const ShardKey& shard, const Scheduling::Release& release)
{
    std::string home = slot.home;
    std::lock_guard sendOrderLock(m_sendOrderMutex);
    {
        std::lock_guard lock(m_mutex);
        auto found = m_pending.find(slot.sequence);
        if (found != m_pending.end()) {
            home = found->second.home;
            --m_outstanding[shard];
            m_pending.erase(found);
        }
    }
    m_hooks.send(home, releaseItem(slot.sequence, shard, release));
}

void GrantClient::deliverOutcome(const std::shared_ptr<RequestSignal>& signal, Result<Slot> outcome)
{
    std::lock_guard lock(signal->m_mutex);
    signal->m_outcome = std::move(outcome);
    signal->m_changed.notify_all();
}

void GrantClient::onGrant(const std::string& home, const Inner::Wire::Grant& grant)
{
    std::shared_ptr<RequestSignal> signal;
    {
        std::lock_guard lock(m_mutex);
        auto found = m_pending.find(grant.sequence());
        // Ignores a grant from a previous home or for a request that has ended. The release that was sent to that home
        // frees the slot.
        bool current = found != m_pending.end() && found->second.home == home;
        if (!current || !found->second.upstream.empty())
            return;
        found->second.upstream = grant.worker();
        found->second.guaranteed = grant.guaranteed();
        signal = found->second.signal;
    }
    deliverOutcome(signal, Slot { grant.sequence(), grant.worker(), home, grant.guaranteed() });
}

void GrantClient::onRefusal(const std::string& home, const Inner::Wire::Refusal& refusal)
{
    std::shared_ptr<RequestSignal> signal;
    {
        std::lock_guard lock(m_mutex);
        auto found = m_pending.find(refusal.sequence());
        if (found == m_pending.end() || found->second.home != home || !found->second.upstream.empty())
            return;
        signal = found->second.signal;
    }
    if (refusal.kind() >= Common::errorTable().size())
        return;
    auto error = Common::makeError(static_cast<ErrorKind>(refusal.kind()), "the scheduler refused the request");
    error.retryAfter = Common::Milliseconds(refusal.retry_after_ms());
    deliverOutcome(signal, std::move(error));
}

void GrantClient::onPreemption(const std::string& home, const Inner::Wire::Preemption& preemption)
{
    std::shared_ptr<RequestSignal> signal;
    {
        std::lock_guard lock(m_mutex);
        auto found = m_pending.find(preemption.sequence());
        if (found == m_pending.end() || found->second.home != home || found->second.upstream.empty())
            return;
        signal = found->second.signal;
    }
    signal->preempt(preemption.sequence());
}

void GrantClient::onQueued(const Inner::Wire::Queued& queued)
{
    std::shared_ptr<RequestSignal> signal;
    {
        std::lock_guard lock(m_mutex);
        auto found = m_pending.find(queued.sequence());
        if (found == m_pending.end())
            return;
        signal = found->second.signal;
    }
    std::lock_guard lock(signal->m_mutex);
    signal->m_queued = true;
}

void GrantClient::onViewChanged(const Membership::View& view)
{
    std::vector<std::pair<std::string, Item>> messages;
    auto now = Common::now();
    std::lock_guard sendOrderLock(m_sendOrderMutex);
    {
        std::lock_guard lock(m_mutex);
        std::map<ShardKey, std::string> moved;
        for (const auto& [sequence, pending] : m_pending) {
            auto home = homeOf(view, pending.request.shard);
            if (home != pending.home && moved.try_emplace(pending.request.shard, home).second)
                messages.emplace_back(home, resetItem(pending.request.shard));
        }
        for (auto& [sequence, pending] : m_pending) {
            auto place = moved.find(pending.request.shard);
            if (place == moved.end())
                continue;
            // Removes the request from the previous home, which may still be alive, and sends it to the new home.
            if (pending.home != place->second)
                messages.emplace_back(pending.home,
                    releaseItem(sequence, pending.request.shard, { {}, Scheduling::SlotOutcome::Cancelled, 0, {} }));
            pending.home = place->second;
            pending.lastSent = now;
            messages.emplace_back(pending.home, askItem(sequence, pending, now));
        }
    }
    for (auto& [peer, item] : messages)
        m_hooks.send(peer, std::move(item));
}

// Locks m_sendOrderMutex per request, so requests that start or end concurrently wait for only one message.
void GrantClient::resendAsk(const std::string& home, uint64_t sequence)
{
    auto now = Common::now();
    Item item;
    std::lock_guard sendOrderLock(m_sendOrderMutex);
    {
        std::lock_guard lock(m_mutex);
        auto found = m_pending.find(sequence);
        if (found == m_pending.end() || found->second.home != home)
            return;
        found->second.lastSent = now;
        item = askItem(sequence, found->second, now);
    }
    m_hooks.send(home, std::move(item));
}

void GrantClient::onConnected(const std::string& home)
{
    {
        std::lock_guard sendOrderLock(m_sendOrderMutex);
        Item reset;
        reset.mutable_reset();
        m_hooks.send(home, std::move(reset));
    }
    // Collected after the reset is sent. Requests that start later are sent after the reset anyway.
    std::vector<uint64_t> sequences;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [sequence, pending] : m_pending) {
            if (pending.home == home)
                sequences.push_back(sequence);
        }
    }
    for (uint64_t sequence : sequences)
        resendAsk(home, sequence);
}

void GrantClient::resendWaiting()
{
    auto now = Common::now();
    std::vector<std::pair<uint64_t, std::string>> due;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [sequence, pending] : m_pending) {
            if (pending.upstream.empty() && now - pending.lastSent >= waitingResendInterval)
                due.emplace_back(sequence, pending.home);
        }
    }
    for (const auto& [sequence, home] : due)
        resendAsk(home, sequence);
}

size_t GrantClient::outstanding(const ShardKey& shard) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_outstanding.find(shard);
    return found == m_outstanding.end() ? 0 : found->second;
}

} // namespace Brassladder::ClassServing::Dispatch
