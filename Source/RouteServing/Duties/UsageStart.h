// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/AttemptOutcome.h"

#include <optional>

namespace Brassladder::RouteServing::Duties {

// How an attempt without a relayed event ended.
struct EndedAttempt {
    Routing::AttemptOutcome outcome { Routing::AttemptOutcome::Answered };
    bool isGeneration { false }; // The request runs on an engine, whose first event shows that it has begun.
    Common::Milliseconds elapsed { 0 }; // Time since the upstream was chosen.
    // Expected time from the choice of the upstream to the first event; nullopt if unknown.
    std::optional<Common::Milliseconds> expectedFirstEvent;
};

// Returns whether an attempt counts as usage. Usage is every request that an upstream began to run, even if the caller
// received no response.
//
// A response or an error from the upstream proves that the request began. If the attempt was interrupted without
// either, a generation is assumed to have begun if its first event was due by then; otherwise it was probably still
// queued. Other requests are assumed to have begun, because they begin within milliseconds.
//
// Returns false for an answered generation, which is counted at its first event instead.
inline bool countsAsUsage(const EndedAttempt& attempt)
{
    switch (attempt.outcome) {
    case Routing::AttemptOutcome::ServerError:
        return true;
    case Routing::AttemptOutcome::Answered:
        return !attempt.isGeneration;
    case Routing::AttemptOutcome::Interrupted:
        return !attempt.isGeneration || (attempt.expectedFirstEvent && attempt.elapsed >= *attempt.expectedFirstEvent);
    case Routing::AttemptOutcome::ConnectFailed:
    case Routing::AttemptOutcome::CancelledBeforeSending:
    case Routing::AttemptOutcome::Withheld:
    case Routing::AttemptOutcome::NotExecuted:
    case Routing::AttemptOutcome::CancelledAfterSending:
        return false;
    }
    return false;
}

} // namespace Brassladder::RouteServing::Duties
