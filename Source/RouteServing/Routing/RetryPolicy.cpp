// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/RetryPolicy.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using Common::ErrorKind;
using Common::Ran;

// Maximum number of failed connection attempts per request. A failed connection causes no work on an upstream, so it
// does not count against the retry budget. Several upstreams may have ended at the same time.
static constexpr unsigned maxConnectFailures = 4;

// Retry delay after a refusal while another upstream can take the request. Half the interval at which routers exchange
// loads, and short enough to meet an objective of 300 ms.
static constexpr Common::Milliseconds retryAfterWithHealthyUpstream { 50 };

void AttemptHistory::record(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Withheld:
        break;
    case AttemptOutcome::ConnectFailed:
    case AttemptOutcome::CancelledBeforeSending:
        ++connectFailures;
        break;
    default:
        ++sent;
    }
    if (ranAfter(outcome) != Ran::No)
        mayHaveRun = true;
}

RetryDecision decideRetry(
    const Route& route, const AttemptHistory& history, AttemptOutcome last, bool hasRelayedEvents, bool isPastDeadline)
{
    if (isPastDeadline)
        return RetryDecision::GiveUp;
    if (history.mayHaveRun && !route.mayRepeat()) {
        // A failover is not a second run: the same run continues from its replica. Before the first event there may be
        // no replica yet, and an engine without the replica might run the request again.
        bool isRunInterrupted = ranAfter(last) != Ran::No && hasRelayedEvents;
        return isRunInterrupted ? RetryDecision::FailOver : RetryDecision::GiveUp;
    }
    // Each upstream is tried at most once, so the number of retries is bounded.
    if (last == AttemptOutcome::Withheld)
        return RetryDecision::Retry;
    if (last == AttemptOutcome::ConnectFailed || last == AttemptOutcome::CancelledBeforeSending)
        return history.connectFailures <= maxConnectFailures ? RetryDecision::Retry : RetryDecision::GiveUp;
    if (history.sent >= std::max(1U, route.maxAttempts))
        return RetryDecision::GiveUp;
    return RetryDecision::RetryWithinBudget;
}

Refusal refusalAfterFailure(
    const AttemptHistory& history, AttemptOutcome last, bool isPastDeadline, std::string_view problem)
{
    ErrorKind kind = ErrorKind::UpstreamBroken;
    if (!history.mayHaveRun)
        kind = last == AttemptOutcome::NotExecuted ? ErrorKind::UpstreamRefused : ErrorKind::NoUpstream;
    else if (isPastDeadline)
        kind = ErrorKind::UpstreamTimeout;
    return { kind, std::string(problem) };
}

Common::Milliseconds retryAfterRefusal(bool hasHealthyUpstream)
{
    return hasHealthyUpstream ? retryAfterWithHealthyUpstream : Common::traits(ErrorKind::UpstreamRefused).retryAfter;
}

ErrorKind reportableKind(ErrorKind kind, bool mayHaveRun)
{
    return mayHaveRun && Common::traits(kind).ran == Ran::No ? ErrorKind::UpstreamBroken : kind;
}

} // namespace Brassladder::RouteServing::Routing
