// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <algorithm>

// Schedules the steps of a planned stop. Pure.
namespace Brassladder::RouteServing::Routing {

// Time until the balancer has removed a stopping instance from its rotation. The balancer probes readiness once a
// second and removes an instance after two failed probes (PROTOCOL, "Ingress"); half a second is added for the response
// to a probe. New connections arrive until then, so requests are still served.
inline constexpr Common::Milliseconds balancerRemovalDelay { 2500 };
// The process ends this long before the platform kills it, to leave time for the last log lines.
inline constexpr Common::Milliseconds killMargin { 250 };
// Requests in flight get their final response this long before the process ends.
inline constexpr Common::Milliseconds responseMargin { 250 };

struct DrainSchedule {
    Common::TimePoint refuseFrom; // From this time on, no new request is accepted and idle connections are closed.
    Common::TimePoint answerFrom; // From this time on, requests in flight are ended with a response.
    Common::TimePoint end; // The process ends at this time, or earlier if no request is in flight.

    // `grace` is the time from the signal until the platform kills the process. If it is short, at most half of it is
    // spent waiting for the balancer, and at most a quarter is each margin.
    static DrainSchedule within(Common::TimePoint started, Common::Milliseconds grace)
    {
        auto end = started + grace - std::min(killMargin, grace / 4);
        return { started + std::min(balancerRemovalDelay, grace / 2), end - std::min(responseMargin, grace / 4), end };
    }
};

} // namespace Brassladder::RouteServing::Routing
