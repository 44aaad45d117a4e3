// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/Admission.h"
#include "RouteServing/Routing/AttemptOutcome.h"
#include "RouteServing/Routing/RouteTable.h"

// What follows a failed attempt: another attempt, a failover, or a final response. Pure. The budget of retries is kept
// by RetryWindow, the choice of the next upstream by UpstreamRegistry.
namespace Brassladder::RouteServing::Routing {

// The attempts of one request so far.
struct AttemptHistory {
    unsigned connectFailures { 0 }; // Attempts whose request was never sent.
    unsigned sent { 0 }; // Attempts whose request may have reached an upstream.
    bool mayHaveRun { false };

    void record(AttemptOutcome);
};

enum class RetryDecision : uint8_t {
    GiveUp,
    Retry, // At another upstream, without using up the budget: nothing was sent.
    RetryWithinBudget, // At another upstream, if the service's retry window allows it.
    FailOver, // Continue the same run at the engine that holds its KV-cache replica, within the budget as well.
};

// `last`: how the newest attempt ended, already recorded in the history. `hasRelayedEvents`: the caller has events of
// this stream. Never allows a second run of a request that must not run twice.
RetryDecision decideRetry(
    const Route&, const AttemptHistory&, AttemptOutcome last, bool hasRelayedEvents, bool isPastDeadline);

// The final response when there is no further attempt. `problem`: what went wrong at the last upstream.
Refusal refusalAfterFailure(const AttemptHistory&, AttemptOutcome last, bool isPastDeadline, std::string_view problem);

// When the caller of a request that upstreams refused may come back. `hasHealthyUpstream`: others have room.
Common::Milliseconds retryAfterRefusal(bool hasHealthyUpstream);

// The kind of error that may be said: kinds that promise "did not run" become UpstreamBroken once the request may have
// run.
Common::ErrorKind reportableKind(Common::ErrorKind, bool mayHaveRun);

} // namespace Brassladder::RouteServing::Routing
