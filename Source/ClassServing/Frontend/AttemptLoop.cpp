// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/AttemptLoop.h"

#include "ClassServing/Frontend/RequestMetrics.h"
#include "ClassServing/Scheduling/RetryRule.h"

namespace Brassladder::ClassServing::Frontend {

using Common::Error;
using Common::ErrorKind;
using Common::Status;
using Scheduling::SlotOutcome;

Scheduling::RetryBudget& AttemptLoop::budget(const std::string& pool)
{
    std::lock_guard lock(m_mutex);
    auto& budget = m_budgets[pool];
    if (!budget)
        budget = std::make_unique<Scheduling::RetryBudget>();
    return *budget;
}

Status AttemptLoop::run(RequestContext& context, const AttemptHook& hook)
{
    if (auto status = m_claims.claim(context); isError(status))
        return status;
    auto status = runClaimed(context, hook);
    m_claims.settle(context, status);
    return status;
}

Status AttemptLoop::runClaimed(RequestContext& context, const AttemptHook& hook)
{
    budget(context.requestClass->pool).deposit();
    std::string pinned;
    std::string avoid;
    for (uint32_t attempts = 1;;) {
        auto placed = m_placement.place(context, pinned, avoid);
        if (isError(placed) && !Scheduling::isUpstreamSpecific(errorOf(placed)))
            return errorOf(placed);
        Error error;
        if (isError(placed)) {
            error = errorOf(placed);
        } else {
            auto result = runAttempt(context, valueOf(placed), !pinned.empty(), hook);
            if (result.outcome == SlotOutcome::Preempted) {
                RequestMetrics::preempted(context.policy().name);
                pinned = valueOf(placed).upstream.id;
                continue;
            }
            if (!result.error)
                return Common::Done {};
            error = *result.error;
            avoid = valueOf(placed).upstream.id;
        }
        pinned.clear();
        if (auto finalError = checkRetry(context, error, attempts))
            return *finalError;
        ++attempts;
        RequestMetrics::retried(context.policy().name, error.kind);
        context.explanation->step("retry", { { "reason", Common::name(error.kind) }, { "message", error.message } });
    }
}

std::optional<Error> AttemptLoop::checkRetry(const RequestContext& context, const Error& error, uint32_t attempts)
{
    Scheduling::FailedAttempt failed { error, context.signal->isCancelled(), context.relayed,
        context.requestClass->noRepeat };
    if (!Scheduling::mayRetry(failed) || attempts >= context.requestClass->maxAttempts)
        return error;
    if (budget(context.requestClass->pool).withdraw(Common::now()))
        return std::nullopt;
    auto budgetError = Common::makeError(
        ErrorKind::RetryBudgetSpent, "the retry budget of the pool is exhausted; last error: " + error.message);
    budgetError.ran = error.ran;
    return budgetError;
}

AttemptResult AttemptLoop::runAttempt(
    RequestContext& context, const PlacedSlot& placed, bool resuming, const AttemptHook& hook)
{
    AttemptResult result;
    if (context.signal->isCancelled())
        result = { SlotOutcome::Cancelled, Common::makeError(ErrorKind::CallerGone, "the caller disconnected"), 0, {} };
    else if (m_claims.isClaimStale(context, Common::now()) && !resuming)
        result = { SlotOutcome::Cancelled,
            Common::makeError(ErrorKind::ClaimUnavailable, "the claim became too old before the request was sent"), 0,
            {} };
    else
        result = hook(placed.upstream);
    if (result.outcome == SlotOutcome::RefusedByUpstream && result.error)
        context.explanation->step("refused_by_upstream", { { "upstream", placed.upstream.id } });
    m_placement.release(placed, result.outcome, result.tokens, result.perToken);
    return result;
}

} // namespace Brassladder::ClassServing::Frontend
