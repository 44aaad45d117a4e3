// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/MessageDispatcher.h"

#include "Common/Log.h"

namespace Brassladder::ClassServing::Frontend {

using Inner::Wire::Item;
using namespace std::chrono_literals;

// A home that sent any message within this time is not suspected, even if it did not respond to a request.
static constexpr Common::Duration recentMessageWindow = 500ms;

void MessageDispatcher::recordMessageFrom(const std::string& router)
{
    if (router == m_parts.self)
        return;
    m_parts.membership.recordMessage(router, Common::now());
    std::lock_guard lock(m_mutex);
    m_lastMessageAt[router] = Common::now();
}

void MessageDispatcher::onItem(const Inner::Mesh::Sender& sender, const Item& item)
{
    recordMessageFrom(sender.id);
    dispatch(sender, item);
}

void MessageDispatcher::dispatch(const Inner::Mesh::Sender& sender, const Item& item)
{
    switch (item.item_case()) {
    case Item::kAsk:
        return m_parts.home.onAsk(sender, item.ask());
    case Item::kRelease:
        return m_parts.home.onRelease(sender, item.release());
    case Item::kReset:
        return m_parts.home.onReset(sender, item.reset());
    case Item::kGrant:
        return m_parts.grants.onGrant(sender.id, item.grant());
    case Item::kRefusal:
        return m_parts.grants.onRefusal(sender.id, item.refusal());
    case Item::kPreemption:
        return m_parts.grants.onPreemption(sender.id, item.preemption());
    case Item::kQueued:
        return m_parts.grants.onQueued(item.queued());
    case Item::kHeartbeat:
        return onHeartbeat(sender, item.heartbeat());
    case Item::kConfigRequest:
        return m_parts.config.onRequest(sender.id, item.config_request());
    case Item::kConfigState:
        return m_parts.config.onState(item.config_state());
    case Item::kClaimRequest:
        return onClaimRequest(sender, item.claim_request());
    case Item::kClaimVerdict:
        return m_parts.claims.onVerdict(item.claim_verdict());
    case Item::kClaimUpdate:
        return onClaimUpdate(item.claim_update());
    // Only routers that serve routes send these. The two modes do not share a fleet.
    case Item::kKnowledgeAsk:
    case Item::kKnowledge:
    case Item::kHubLoads:
    case Item::kStreamOrigins:
    case Item::kStreamOriginQuery:
    case Item::kStreamOriginReply:
    case Item::kSlotRequest:
    case Item::kSlotReply:
    case Item::kSlotRelease:
    case Item::ITEM_NOT_SET:
        return;
    }
}

void MessageDispatcher::onClaimRequest(const Inner::Mesh::Sender& sender, const Inner::Wire::ClaimRequest& request)
{
    auto answer = [this, peer = sender.id, sequence = request.sequence()](Claims::Verdict verdict) {
        Item item;
        item.mutable_claim_verdict()->set_sequence(sequence);
        item.mutable_claim_verdict()->set_verdict(static_cast<uint32_t>(verdict));
        m_parts.send(peer, std::move(item));
    };
    if (request.partition() >= m_parts.claimPartitions)
        return answer(Claims::Verdict::Unavailable);
    m_parts.claimRouter.request(
        request.partition(), { request.key(), request.request_id() }, request.look_only(), answer);
}

void MessageDispatcher::onClaimUpdate(const Inner::Wire::ClaimUpdate& update)
{
    if (update.partition() >= m_parts.claimPartitions)
        return;
    Claims::KeyAndRequest what { update.key(), update.request_id() };
    if (update.free())
        m_parts.claimRouter.markFreed(update.partition(), what);
    else
        m_parts.claimRouter.markEnded(update.partition(), what);
}

void MessageDispatcher::onHeartbeat(const Inner::Mesh::Sender& sender, const Inner::Wire::Heartbeat& heartbeat)
{
    auto now = Common::now();
    m_parts.membership.setRouterLeaving(sender.id, heartbeat.leaving(), now);
    for (const auto& suspicion : heartbeat.suspects()) {
        if (suspicion.id() != m_parts.self)
            m_parts.membership.recordSuspicion(suspicion.id(), Common::Milliseconds(suspicion.age_ms()), now);
    }
    for (const auto& upstream : heartbeat.leaving_upstreams())
        m_parts.membership.setUpstreamLeaving(upstream, now);
    m_parts.config.requestIfDifferent(sender.id, heartbeat.config_digest());
}

void MessageDispatcher::onHomeUnresponsive(const std::string& home)
{
    if (home == m_parts.self)
        return;
    {
        std::lock_guard lock(m_mutex);
        if (Common::now() - m_lastMessageAt[home] < recentMessageWindow)
            return;
    }
    Common::log(Common::LogLevel::Warning, "membership", "home.silent", { { "peer", home } });
    m_parts.membership.suspect(home, Common::now());
}

} // namespace Brassladder::ClassServing::Frontend
