// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/AttemptLoop.h"

#include "ClassServing/Frontend/RequestMetrics.h"
#include "Common/Digest.h"

namespace Brassladder::ClassServing::Frontend {

using Common::Error;
using Common::ErrorKind;
using Common::Ran;
using Common::Result;
using Common::Status;
using Scheduling::SlotOutcome;

AttemptLoop::AttemptLoop(Parts parts)
    : m_parts(parts)
{
}

Scheduling::RetryBudget& AttemptLoop::budget(const std::string& pool)
{
    std::lock_guard lock(m_mutex);
    auto& budget = m_budgets[pool];
    if (!budget)
        budget = std::make_unique<Scheduling::RetryBudget>();
    return *budget;
}

Status AttemptLoop::run(RequestContext& context, const AttemptHook& runAttempt)
{
    if (auto status = claim(context); isError(status))
        return status;
    auto status = runClaimed(context, runAttempt);
    settleClaim(context, status);
    return status;
}

static Error claimError(Claims::Verdict verdict, bool vouchedLater)
{
    if (verdict == Claims::Verdict::Unavailable && !vouchedLater)
        return Common::makeError(ErrorKind::ClaimUnavailable, "the platform's log does not confirm the key now");
    auto error = Common::makeError(ErrorKind::DuplicateKey, "a request with this key was sent before");
    if (verdict == Claims::Verdict::Ended)
        error.ran = Ran::Yes;
    return error;
}

// Claims the key of a request that may not be repeated. A later try of a vouched class never runs: the first may have
// run without a claim, while the log was out.
Status AttemptLoop::claim(RequestContext& context)
{
    if (!context.claimKey)
        return Common::Done {};
    Claims::KeyAndRequest what { *context.claimKey, context.requestId };
    bool vouched = context.requestClass->vouchedAttempts;
    bool later = vouched && *context.attempt > 1;
    auto verdict = m_parts.claims.claim(what, later);
    context.explanation->step("claimed", { { "verdict", Claims::name(verdict) }, { "look_only", later } });
    if (later)
        return claimError(verdict, true);
    if (verdict == Claims::Verdict::Won || (vouched && verdict == Claims::Verdict::Unavailable)) {
        context.claimed = Common::now();
        return Common::Done {};
    }
    // The claim may yet take effect; freed, it will not stand in the way of the caller's next try.
    if (verdict == Claims::Verdict::Unavailable)
        m_parts.claims.free(what);
    return claimError(verdict, false);
}

void AttemptLoop::settleClaim(const RequestContext& context, const Status& status)
{
    if (!context.claimKey)
        return;
    Claims::KeyAndRequest what { *context.claimKey, context.requestId };
    if (!isError(status))
        m_parts.claims.end(what);
    else if (errorOf(status).ran == Ran::No)
        m_parts.claims.free(what);
}

bool AttemptLoop::mayRetry(const RequestContext& context, const Error& error) const
{
    if (context.signal->isCancelled() || error.kind == ErrorKind::CallerGone)
        return false;
    if (context.relayed)
        return false;
    return error.ran == Ran::No || !context.requestClass->noRepeat;
}

// Whether only the upstream that was chosen is to blame, so that another one may do.
static bool isUpstreamGone(const Error& error)
{
    return error.kind == ErrorKind::UpstreamLostState || error.kind == ErrorKind::UpstreamRefused;
}

Status AttemptLoop::runClaimed(RequestContext& context, const AttemptHook& attemptHook)
{
    auto& retries = budget(context.requestClass->pool);
    retries.deposit();
    std::string pinned;
    std::string avoid;
    for (uint32_t tries = 1;;) {
        auto placed = place(context, pinned, avoid);
        if (isError(placed) && !isUpstreamGone(errorOf(placed)))
            return errorOf(placed);
        Error error;
        if (isError(placed)) {
            error = errorOf(placed);
        } else {
            auto attempt = runAttempt(context, valueOf(placed), !pinned.empty(), attemptHook);
            if (attempt.outcome == SlotOutcome::Preempted) {
                RequestMetrics::preempted(context.policy().name);
                pinned = valueOf(placed).upstream.id;
                continue;
            }
            if (!attempt.error)
                return Common::Done {};
            error = *attempt.error;
            avoid = valueOf(placed).upstream.id;
        }
        pinned.clear();
        if (!mayRetry(context, error) || tries >= context.requestClass->maxAttempts)
            return error;
        if (!retries.withdraw(Common::now())) {
            auto spent = Common::makeError(
                ErrorKind::RetryBudgetSpent, "the pool fails too often to try again: " + error.message);
            spent.ran = error.ran;
            return spent;
        }
        ++tries;
        RequestMetrics::retried(context.policy().name, error.kind);
        context.explanation->step("retry", { { "reason", Common::name(error.kind) }, { "message", error.message } });
    }
}

Dispatch::ShardKey AttemptLoop::chooseShard(const RequestContext& context, const std::string& pinned)
{
    const auto& pool = context.requestClass->pool;
    auto view = m_parts.membership.view();
    auto upstreams = view->pools.find(pool);
    const auto* settings = context.table->pool(pool);
    size_t upstreamCount = upstreams == view->pools.end() ? 0 : upstreams->second.size();
    uint32_t count = settings ? Dispatch::shardCount(*settings, upstreamCount) : 1;
    if (count == 1)
        return { pool, 0 };
    if (!pinned.empty())
        return { pool, Dispatch::shardOf(pool, pinned, count) };
    // The prefix names the first choice, so that its cache is found again; a random one relieves it.
    uint64_t spread = context.prefix ? context.prefix : Common::randomNumber();
    Dispatch::ShardKey first { pool, static_cast<uint32_t>(spread % count) };
    Dispatch::ShardKey second { pool, static_cast<uint32_t>(Common::randomNumber() % count) };
    return m_parts.grants.outstanding(second) < m_parts.grants.outstanding(first) ? second : first;
}

Result<AttemptLoop::Placed> AttemptLoop::place(
    RequestContext& context, const std::string& pinned, const std::string& avoid)
{
    Dispatch::SlotRequest request;
    request.shard = chooseShard(context, pinned);
    request.requestClass = context.requestClass;
    request.workspace = context.workspace->name;
    request.prefix = context.prefix;
    request.arrived = context.arrived;
    request.pinned = pinned;
    request.avoid = avoid;
    auto slot = m_parts.grants.acquire(request, context.signal);
    if (isError(slot))
        return errorOf(slot);
    Placed placed { valueOf(slot), request.shard, {} };
    auto view = m_parts.membership.view();
    const auto* upstream = view->upstream(request.shard.pool, placed.slot.upstream);
    // Our own word of a leaving upstream may be newer than the home's. What was paused there goes on there.
    if (!upstream || (upstream->leaving && pinned.empty())) {
        m_parts.grants.release(placed.slot, placed.shard, { {}, SlotOutcome::RefusedByUpstream, 0, {} });
        return Common::makeError(
            pinned.empty() ? ErrorKind::UpstreamRefused : ErrorKind::UpstreamLostState, "the upstream is leaving");
    }
    placed.upstream = *upstream;
    RequestMetrics::waited(*context.requestClass, Common::now() - context.arrived);
    context.explanation->step("granted",
        { { "upstream", placed.upstream.id }, { "home", placed.slot.home }, { "guaranteed", placed.slot.guaranteed } });
    return placed;
}

AttemptResult AttemptLoop::runAttempt(
    RequestContext& context, const Placed& placed, bool resuming, const AttemptHook& hook)
{
    AttemptResult attempt;
    // A claim is good for the horizon from its record on. One that was stopped for long after winning it must not send.
    bool stale = context.claimed && Common::now() - *context.claimed > m_parts.claimHorizon / 2;
    if (context.signal->isCancelled())
        attempt = { SlotOutcome::Cancelled, Common::makeError(ErrorKind::CallerGone, "the caller went away"), 0, {} };
    else if (stale && !resuming)
        attempt = { SlotOutcome::Cancelled,
            Common::makeError(ErrorKind::ClaimUnavailable, "the claim is too old to act on"), 0, {} };
    else
        attempt = hook(placed.upstream);
    if (attempt.outcome == SlotOutcome::RefusedByUpstream && attempt.error)
        context.explanation->step("refused_by_upstream", { { "upstream", placed.upstream.id } });
    m_parts.grants.release(placed.slot, placed.shard, { {}, attempt.outcome, attempt.tokens, attempt.perToken });
    return attempt;
}

} // namespace Brassladder::ClassServing::Frontend
