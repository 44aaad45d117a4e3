// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/Admission.h"
#include "RouteServing/Routing/AttemptOutcome.h"
#include "RouteServing/Routing/RouteTable.h"

// Decides what follows a failed attempt: another attempt, a failover, or a final response. Pure. RetryWindow enforces
// the retry budget; UpstreamRegistry selects the next upstream.
namespace Brassladder::RouteServing::Routing {

// Counts the attempts of one request so far.
struct AttemptHistory {
    unsigned connectFailures { 0 }; // Attempts whose request was never sent.
    unsigned sent { 0 }; // Attempts whose request may have reached an upstream.
    bool mayHaveRun { false };

    void record(AttemptOutcome);
};

enum class RetryDecision : uint8_t {
    GiveUp,
    Retry, // On another upstream. Does not count against the budget, because nothing was sent.
    RetryWithinBudget, // On another upstream, if the service's retry window allows it.
    FailOver, // Continue the same run on the engine that holds its KV-cache replica, if the retry window allows it.
};

// `last` is the outcome of the newest attempt, already recorded in the history. `hasRelayedEvents` is whether the
// caller has received events of this stream. Never allows a second run of a request that must not run twice.
RetryDecision decideRetry(
    const Route&, const AttemptHistory&, AttemptOutcome last, bool hasRelayedEvents, bool isPastDeadline);

// Returns the final response if there is no further attempt. `problem` describes the failure at the last upstream.
Refusal refusalAfterFailure(const AttemptHistory&, AttemptOutcome last, bool isPastDeadline, std::string_view problem);

// Returns the retry delay for the caller of a request that an upstream refused. `hasHealthyUpstream` is whether another
// upstream can take the request now.
Common::Milliseconds retryAfterRefusal(bool hasHealthyUpstream);

// Returns the kind of error to report. Kinds that promise "did not run" become UpstreamBroken once the request may have
// run.
Common::ErrorKind reportableKind(Common::ErrorKind, bool mayHaveRun);

} // namespace Brassladder::RouteServing::Routing
