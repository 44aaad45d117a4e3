// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstddef>

// Computes when the caller of a refused generation should return. Pure.
namespace Brassladder::RouteServing::Routing {

struct RefusedCaller {
    size_t rank { 0 }; // Urgency; 0 is the highest.
    Common::Milliseconds left { 0 }; // Until its deadline.
    Common::Milliseconds expectedStart { 0 }; // Of a generation of its rank.
    Common::Milliseconds shortestDelay { 0 }; // Used if the backlog would allow an earlier return.
};

// Returns the delay for `Retry-After`: the time in which the backlog before the caller's rank ends. Callers are spread
// over up to twice that time by rank and by `random`, uniformly distributed in [0, 1), so that urgent callers return
// first and not all at once. At most a third of the time that the caller has left, since callers ignore a longer delay.
Common::Milliseconds returnTime(const RefusedCaller&, double random);

} // namespace Brassladder::RouteServing::Routing
