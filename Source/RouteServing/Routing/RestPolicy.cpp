// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/RestPolicy.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using Common::ErrorKind;
using namespace std::chrono_literals;

// After this a quota is not due soon, however long the route's objective.
static constexpr Common::Milliseconds quotaHoldBound = 300ms;

Common::Milliseconds longestQuotaHold(const Route& route) { return std::min(route.objective / 2, quotaHoldBound); }

Refusal refusalWithoutUpstream(const NextChance& chance, bool mayHaveRun, Common::TimePoint now)
{
    if (mayHaveRun)
        return { ErrorKind::UpstreamBroken, "no upstream is left" };
    std::optional<Common::Milliseconds> rest;
    // Rounded up, so that nobody comes back a moment too early.
    if (chance.firstReturn)
        rest = std::max(1ms, Common::toMilliseconds(*chance.firstReturn - now) + 1ms);
    if (chance.quotaWait && (!rest || *chance.quotaWait < *rest))
        return { ErrorKind::UpstreamsLimited, "the limits of all upstreams are used up", *chance.quotaWait };
    if (!rest)
        return { ErrorKind::NoUpstream, "no upstream is left" };
    return { ErrorKind::UpstreamsResting, "every upstream has asked for rest", *rest };
}

} // namespace Brassladder::RouteServing::Routing
