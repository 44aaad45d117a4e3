// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Admission.h"

#include <optional>

// What becomes of a request when every upstream that may take it has asked for rest. Pure.
namespace Brassladder::RouteServing::Routing {

// What is known of such a request.
struct RestingRequest {
    Common::TimePoint arrived; // Or when the stream lost its upstream, if it had begun.
    Common::Milliseconds objective { 0 }; // From then on, within which the caller wants a response.
    Common::TimePoint deadline;
    std::optional<Common::TimePoint> firstReturn; // Of an upstream that may take it; none when none will.
};

// Until when the router holds it: until the first upstream is back, when what is left of the objective then is at least
// half. None: it is refused at once, with the time until the first upstream is back.
//
// Held it costs its caller nothing but the time that it has to wait anyway; a refusal costs a connection and one of the
// caller's few attempts, at a router that may have been asked for rest as well. Beyond half of the objective the
// response would seldom be in time, and the caller decides better what to do.
std::optional<Common::TimePoint> holdUntil(const RestingRequest&, Common::TimePoint now);

// The refusal of a request for which no upstream is left. `firstReturn`: of any upstream of the service.
Refusal refusalWithoutUpstream(std::optional<Common::TimePoint> firstReturn, bool mayHaveRun, Common::TimePoint now);

} // namespace Brassladder::RouteServing::Routing
