// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Claims/ClaimClient.h"

#include "Common/Digest.h"

namespace Brassladder::ClassServing::Claims {

uint32_t ClaimClient::partitionOf(std::string_view key) const
{
    return static_cast<uint32_t>(Common::stableHash(key) % m_options.partitions);
}

Verdict ClaimClient::claim(const KeyAndRequest& what, bool readOnly)
{
    auto waiter = std::make_shared<Waiter>();
    uint64_t sequence = 0;
    {
        std::lock_guard lock(m_mutex);
        sequence = ++m_lastSequence;
        m_waiters[sequence] = waiter;
    }
    auto deadline = Common::now() + m_options.timeout;
    auto verdict = Verdict::Unavailable;
    while (Common::now() < deadline) {
        Inner::Wire::Item item;
        auto& request = *item.mutable_claim_request();
        request.set_sequence(sequence);
        request.set_partition(partitionOf(what.key));
        request.set_key(what.key);
        request.set_request_id(what.requestId);
        request.set_look_only(readOnly);
        m_hooks.send(m_hooks.claimRouterOf(request.partition()), std::move(item));
        std::unique_lock lock(waiter->mutex);
        if (waiter->changed.wait_for(lock, m_options.resendInterval, [&] { return waiter->verdict.has_value(); })) {
            verdict = *waiter->verdict;
            break;
        }
    }
    std::lock_guard lock(m_mutex);
    m_waiters.erase(sequence);
    return verdict;
}

void ClaimClient::update(const KeyAndRequest& what, bool free)
{
    Inner::Wire::Item item;
    auto& update = *item.mutable_claim_update();
    update.set_partition(partitionOf(what.key));
    update.set_key(what.key);
    update.set_request_id(what.requestId);
    update.set_free(free);
    m_hooks.send(m_hooks.claimRouterOf(update.partition()), std::move(item));
}

void ClaimClient::onVerdict(const Inner::Wire::ClaimVerdict& message)
{
    std::shared_ptr<Waiter> waiter;
    {
        std::lock_guard lock(m_mutex);
        auto found = m_waiters.find(message.sequence());
        if (found == m_waiters.end())
            return;
        waiter = found->second;
    }
    std::lock_guard lock(waiter->mutex);
    waiter->verdict = static_cast<Verdict>(message.verdict());
    waiter->changed.notify_all();
}

} // namespace Brassladder::ClassServing::Claims
