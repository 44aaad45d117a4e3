// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/RouteTable.h"

#include <algorithm>

// Decides which connections an attempt may use and how long opening one may take. Pure.
namespace Brassladder::RouteServing::Routing {

// Bounds on the timeout for opening a connection to an upstream. The lower bound tolerates a slow response of a loaded
// upstream. The upper bound leaves time to try another upstream before the caller times out.
inline constexpr Common::Milliseconds minConnectTimeout { 50 };
inline constexpr Common::Milliseconds maxConnectTimeout { 500 };

// Maximum idle time of a connection for a request that must not run twice. An upstream may close an idle connection
// while a request is written to it, and then it is unknown whether the request ran. The value is well below the usual
// idle timeout of upstreams.
inline constexpr Common::Milliseconds maxIdleTimeForOnceOnly { 1000 };

// Returns half of the route's objective, clamped to the bounds above.
inline Common::Milliseconds connectTimeout(const Route& route)
{
    return std::clamp(route.objective / 2, minConnectTimeout, maxConnectTimeout);
}

// Returns how long a connection may have been idle to be used for a request on this route.
inline Common::Milliseconds maxIdleTime(const Route& route)
{
    return route.mayRepeat() ? Common::Milliseconds::max() : maxIdleTimeForOnceOnly;
}

} // namespace Brassladder::RouteServing::Routing
