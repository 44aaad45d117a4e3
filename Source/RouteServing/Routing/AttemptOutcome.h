// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Error.h"

#include <cstdint>
#include <string_view>

// How an attempt to serve a request at one upstream ended, and what that says about whether the request ran.
namespace Brassladder::RouteServing::Routing {

enum class AttemptOutcome : uint8_t {
    ConnectFailed, // No connection was made, so no byte of the request was sent.
    CancelledBeforeSending, // The caller left before the request was sent.
    Withheld, // Not sent: since it was chosen, the upstream had asked for rest or said that it leaves.
    NotExecuted, // The upstream itself stated that it did not run the request.
    Interrupted, // Sent, then reset, garbled, cut short or timed out.
    CancelledAfterSending, // The caller left while the upstream worked.
    ServerError, // The upstream ran the request and returned a 5xx status.
    Answered,
};

// Whether the request ran at that upstream. Only `Ran::No` allows another attempt for a request that must not run
// twice, or a response that promises that the request did not run.
Common::Ran ranAfter(AttemptOutcome);

// The value of the field `fate` in log lines and of the metrics label of that name: not_sent, refused, maybe_ran, ran.
std::string_view fateLabel(AttemptOutcome);

} // namespace Brassladder::RouteServing::Routing
