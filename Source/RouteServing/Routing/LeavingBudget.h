// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/TimeBudget.h"
#include "RouteServing/Routing/RefreshIntervals.h"

#include <cstddef>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// Times that a router does not control, as shares of a bound. The time budgets allow for them.
struct TransitTimes {
    Common::Milliseconds storeResponse { 0 }; // One response of the store, with a new connection if needed.
    Common::Milliseconds exchange { 0 }; // One request and its response between two routers.
    Common::Milliseconds send { 0 }; // From the permit to send a request until its first byte is at the upstream.

    static TransitTimes within(Common::Milliseconds bound);
};

// Returns the longest paths from the store's acknowledgement that an upstream is leaving until no router of a fleet
// sends it a request, each under the faults that its name states.
std::vector<Common::TimeBudget> leavingBudgets(
    const RefreshIntervals&, Common::Milliseconds leavingBound, size_t routers);

} // namespace Brassladder::RouteServing::Routing
