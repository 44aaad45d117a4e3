// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/RouteTable.h"

#include <algorithm>

// Which connection an attempt may use, and how long it may take to open one. Pure.
namespace Brassladder::RouteServing::Routing {

// Bounds on the time for a new connection to an upstream. Within a site a connection takes about a millisecond, so the
// lower bound leaves room for a loaded upstream; the upper one lets another upstream be tried before callers give up.
// Chosen, not measured.
inline constexpr Common::Milliseconds minConnectTimeout { 50 };
inline constexpr Common::Milliseconds maxConnectTimeout { 500 };

// An upstream may close an idle connection just as a request is written to it, and then nobody knows whether the
// request ran. A request that must not run twice therefore uses an idle connection only for this long after its last
// use. Chosen, not measured: well below the seconds for which upstreams keep idle connections.
inline constexpr Common::Milliseconds maxIdleTimeForOnceOnly { 1000 };

// Half of the time in which the response is due, within the bounds above.
inline Common::Milliseconds connectTimeout(const Route& route)
{
    return std::clamp(route.objective / 2, minConnectTimeout, maxConnectTimeout);
}

// The longest time for which a connection may have been idle to carry a request of this route.
inline Common::Milliseconds maxIdleTime(const Route& route)
{
    return route.mayRepeat() ? Common::Milliseconds::max() : maxIdleTimeForOnceOnly;
}

} // namespace Brassladder::RouteServing::Routing
