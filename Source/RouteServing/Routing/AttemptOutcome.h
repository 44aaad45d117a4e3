// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Error.h"

#include <cstdint>
#include <string_view>

// How an attempt to serve a request at one upstream ended, and whether the request ran there.
namespace Brassladder::RouteServing::Routing {

enum class AttemptOutcome : uint8_t {
    ConnectFailed, // No connection was established, so no byte of the request was sent.
    CancelledBeforeSending, // The caller disconnected before the request was sent.
    Withheld, // Not sent: the chosen upstream started a cooldown, is leaving, or has no quota left.
    NotExecuted, // The upstream stated that it did not run the request.
    Interrupted, // Sent, then the response was reset, malformed, truncated or timed out.
    CancelledAfterSending, // The caller disconnected while the upstream processed the request.
    ServerError, // The upstream ran the request and returned a 5xx status.
    Answered,
};

// Returns whether the request ran at that upstream. Only `Ran::No` allows a retry of a request that must not run twice,
// or a response that states that the request did not run.
Common::Ran ranAfter(AttemptOutcome);

// Returns the value of the log field `fate` and of the metrics label of that name: not_sent, refused, maybe_ran, ran.
std::string_view fateLabel(AttemptOutcome);

} // namespace Brassladder::RouteServing::Routing
