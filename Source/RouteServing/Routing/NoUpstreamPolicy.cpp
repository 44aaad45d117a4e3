// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/NoUpstreamPolicy.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using Common::ErrorKind;
using namespace std::chrono_literals;

// Upper bound of the wait for a quota on routes with a long objective.
static constexpr Common::Milliseconds maxQuotaWaitCap = 300ms;

Common::Milliseconds maxQuotaWait(const Route& route) { return std::min(route.objective / 2, maxQuotaWaitCap); }

Common::Milliseconds maxSlotWait(const Route& route) { return route.objective / 2; }

Refusal noUpstreamRefusal(const NextAvailability& availability, bool mayHaveRun, Common::TimePoint now)
{
    if (mayHaveRun)
        return { ErrorKind::UpstreamBroken, "no upstream is left" };
    std::optional<Common::Milliseconds> cooldown;
    // Rounded up, so that a retry does not arrive just before the end of the cooldown.
    if (availability.earliestCooldownEnd)
        cooldown = std::max(1ms, Common::toMilliseconds(*availability.earliestCooldownEnd - now) + 1ms);
    if (availability.quotaWait && (!cooldown || *availability.quotaWait < *cooldown))
        return { ErrorKind::UpstreamsLimited, "the limits of all upstreams are used up", *availability.quotaWait };
    if (availability.slotWait && (!cooldown || *availability.slotWait < *cooldown))
        return { ErrorKind::UpstreamsLimited, "no slot of the upstreams is free", *availability.slotWait };
    if (!cooldown)
        return { ErrorKind::NoUpstream, "no upstream is left" };
    return { ErrorKind::UpstreamsResting, "every upstream is in a Retry-After cooldown", *cooldown };
}

} // namespace Brassladder::RouteServing::Routing
