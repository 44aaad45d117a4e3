// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Admission.h"

#include <optional>

// What becomes of a request when every upstream that may take it has asked for rest, or has a limit that is used up: it
// is refused, with the time until the first of them may take it. Pure.
//
// For a quota it is held for a moment before, since quotas come a few times a second. Holding it for a rest as well,
// for up to half of its objective, served 0.2 to 0.7 in 100 more where all upstreams of a service rested for 0.3 to 3
// s, but 0.1 to 0.7 in 100 fewer in time, and what was held arrived at once when the rest was over: about twice as many
// requests were refused then at light load (the benchmark rest-return, 6 routers, three seeds).
namespace Brassladder::RouteServing::Routing {

// When an upstream of the service may be expected to take the request.
struct NextAvailability {
    std::optional<Common::TimePoint> earliestCooldownEnd; // Of those that rest; none when none does.
    std::optional<Common::Milliseconds> quotaWait; // Of those with a limit; none when none has one.
};

// For how long after its arrival a request may wait for a quota.
Common::Milliseconds maxQuotaHold(const Route&);

// The refusal of a request for which no upstream is left. `mayHaveRun`: an attempt before may have run, so that the
// refusal promises nothing and names no time.
Refusal noUpstreamRefusal(const NextAvailability&, bool mayHaveRun, Common::TimePoint now);

} // namespace Brassladder::RouteServing::Routing
