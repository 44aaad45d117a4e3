// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Admission.h"

#include <optional>

// Defines how a request is refused for which no upstream is available. If the upstreams are in a cooldown or their
// limits are used up, the refusal gives the time until the first of them becomes available. Does no I/O and reads no
// clock.
//
// A request waits briefly for a quota, because quotas arrive several times per second, and for a slot, since slots
// become free with each response. It does not wait for the end of a cooldown, because all waiting requests would then
// reach the upstream at once.
namespace Brassladder::RouteServing::Routing {

// When an upstream of the service is expected to become available.
struct NextAvailability {
    std::optional<Common::TimePoint> earliestCooldownEnd; // Of upstreams in a cooldown; nullopt if there is none.
    std::optional<Common::Milliseconds> quotaWait; // Of upstreams with a limit; nullopt if there is none.
    std::optional<Common::Milliseconds> slotWait; // Of fragile upstreams without a free slot; nullopt if there is none.
};

// Returns how long after its arrival a request may wait for a quota.
Common::Milliseconds maxQuotaWait(const Route&);

// Returns how long after its arrival a request may wait for a slot of a fragile upstream. A wait that is expected to
// last longer is refused at once.
Common::Milliseconds maxSlotWait(const Route&);
// Fragile upstreams at which a request tries to get a slot, one after the other.
inline constexpr unsigned maxSlotDenials = 4;

// Returns the refusal of a request for which no upstream is available. `mayHaveRun`: an earlier attempt may have run,
// so the refusal does not state that the request did not run and gives no retry time.
Refusal noUpstreamRefusal(const NextAvailability&, bool mayHaveRun, Common::TimePoint now);

} // namespace Brassladder::RouteServing::Routing
