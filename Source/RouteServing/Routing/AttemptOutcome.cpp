// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/AttemptOutcome.h"

namespace Brassladder::RouteServing::Routing {

using Common::Ran;

Ran ranAfter(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::ConnectFailed:
    case AttemptOutcome::CancelledBeforeSending:
    case AttemptOutcome::Withheld:
    case AttemptOutcome::NotExecuted:
        return Ran::No;
    case AttemptOutcome::Interrupted:
    case AttemptOutcome::CancelledAfterSending:
        return Ran::Maybe;
    case AttemptOutcome::ServerError:
    case AttemptOutcome::Answered:
        return Ran::Yes;
    }
    return Ran::Maybe;
}

std::string_view fateLabel(AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::NotExecuted)
        return "refused";
    switch (ranAfter(outcome)) {
    case Ran::No:
        return "not_sent";
    case Ran::Maybe:
        return "maybe_ran";
    case Ran::Yes:
        return "ran";
    }
    return "maybe_ran";
}

} // namespace Brassladder::RouteServing::Routing
