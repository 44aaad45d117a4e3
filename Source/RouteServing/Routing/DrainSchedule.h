// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <algorithm>

// When the steps of a planned stop happen. Pure.
namespace Brassladder::RouteServing::Routing {

// The balancer asks for readiness once a second and removes an instance after two misses (PROTOCOL, "Ingress"); half a
// second is left for the answer. Until then new connections still arrive, so requests are still served.
inline constexpr Common::Milliseconds balancerRemovalDelay { 2500 };
// What is still in flight this long before the platform kills the process is given up, to leave time for the last log
// lines. Chosen, not measured.
inline constexpr Common::Milliseconds killMargin { 250 };

struct DrainSchedule {
    Common::TimePoint refuseFrom; // From here on nothing new is begun, and idle connections are closed.
    Common::TimePoint end; // The process ends here, or earlier when nothing is in flight.

    // `grace`: from the signal until the platform kills the process. A short grace is divided: at most half of it waits
    // for the balancer, at most a quarter is the margin.
    static DrainSchedule within(Common::TimePoint started, Common::Milliseconds grace)
    {
        return { started + std::min(balancerRemovalDelay, grace / 2),
            started + grace - std::min(killMargin, grace / 4) };
    }
};

} // namespace Brassladder::RouteServing::Routing
