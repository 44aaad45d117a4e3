// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/SlotPlacement.h"

#include "ClassServing/Frontend/RequestMetrics.h"
#include "Common/Digest.h"

namespace Brassladder::ClassServing::Frontend {

using Common::ErrorKind;
using Common::Result;
using Scheduling::SlotOutcome;

// A paused generation resumes in the shard of its upstream. Any other request goes to the less loaded of two shards:
// the shard that its prefix hashes to, where the prefix may be cached, and a random one.
Dispatch::ShardKey SlotPlacement::chooseShard(const RequestContext& context, const std::string& pinned)
{
    const auto& pool = context.requestClass->pool;
    auto view = m_membership.view();
    auto upstreams = view->pools.find(pool);
    const auto* settings = context.table->pool(pool);
    size_t upstreamCount = upstreams == view->pools.end() ? 0 : upstreams->second.size();
    uint32_t count = settings ? Dispatch::shardCount(*settings, upstreamCount) : 1;
    if (count == 1)
        return { pool, 0 };
    if (!pinned.empty())
        return { pool, Dispatch::shardOf(pool, pinned, count) };
    uint64_t spread = context.prefixHash ? context.prefixHash : Common::randomNumber();
    Dispatch::ShardKey first { pool, static_cast<uint32_t>(spread % count) };
    Dispatch::ShardKey second { pool, static_cast<uint32_t>(Common::randomNumber() % count) };
    return m_grants.outstanding(second) < m_grants.outstanding(first) ? second : first;
}

Result<PlacedSlot> SlotPlacement::place(RequestContext& context, const std::string& pinned, const std::string& avoid)
{
    Dispatch::SlotRequest request;
    request.shard = chooseShard(context, pinned);
    request.requestClass = context.requestClass;
    request.workspace = context.workspace->name;
    request.prefixHash = context.prefixHash;
    request.arrivedAt = context.arrivedAt;
    request.pinned = pinned;
    request.avoid = avoid;
    auto slot = m_grants.acquire(request, context.signal);
    if (isError(slot))
        return errorOf(slot);
    PlacedSlot placed { valueOf(slot), request.shard, {} };
    auto view = m_membership.view();
    const auto* upstream = view->upstream(request.shard.pool, placed.slot.upstream);
    // The report that an upstream is leaving may reach this router before the home. A generation that is paused on a
    // leaving upstream still resumes there.
    if (!upstream || (upstream->leaving && pinned.empty())) {
        release(placed, SlotOutcome::RefusedByUpstream, 0, {});
        return Common::makeError(pinned.empty() ? ErrorKind::UpstreamRefused : ErrorKind::UpstreamLostState,
            "the granted upstream is leaving or no longer listed");
    }
    placed.upstream = *upstream;
    RequestMetrics::waited(*context.requestClass, Common::now() - context.arrivedAt);
    context.explanation->step("granted",
        { { "upstream", placed.upstream.id }, { "home", placed.slot.home }, { "guaranteed", placed.slot.guaranteed } });
    return placed;
}

void SlotPlacement::release(const PlacedSlot& placed, SlotOutcome outcome, uint32_t tokens, Common::Duration perToken)
{
    m_grants.release(placed.slot, placed.shard, { {}, outcome, tokens, perToken });
}

} // namespace Brassladder::ClassServing::Frontend
