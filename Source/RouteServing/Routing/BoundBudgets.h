// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/TimeBudget.h"
#include "RouteServing/Routing/RefreshIntervals.h"

#include <cstddef>
#include <vector>

// The longest paths of the guarantees with a time bound, each under the faults that its name states. Pure.
namespace Brassladder::RouteServing::Routing {

// Times that a router does not control, as shares of a bound but no shorter than is realistic. The budgets allow for
// them.
struct TransitTimes {
    Common::Milliseconds storeResponse { 0 }; // One response of the store, with a new connection if needed.
    Common::Milliseconds exchange { 0 }; // One request and its response between two routers.
    Common::Milliseconds send { 0 }; // From the permit to send a request until its first byte is at the upstream.

    static TransitTimes within(Common::Milliseconds bound);
};

// From the store's acknowledgement that an upstream is leaving until no router of a fleet sends it a request.
std::vector<Common::TimeBudget> leavingBudgets(
    const RefreshIntervals&, Common::Milliseconds leavingBound, size_t routers);

// From the store's acknowledgement of a configuration until each router of a fleet uses it.
std::vector<Common::TimeBudget> configurationBudgets(
    const RefreshIntervals&, Common::Milliseconds configurationBound, size_t routers);

// From the store's acknowledgement that a key is withdrawn until no router forwards a request with it, if no change
// reaches the router. The bound must not be zero.
std::vector<Common::TimeBudget> keyBudgets(Common::Milliseconds revocationBound);

// From the store's acknowledgement that a failure domain is evacuated until no router sends a request there. The
// platform does not state this bound in the settings.
std::vector<Common::TimeBudget> evacuationBudgets(const RefreshIntervals&, Common::Milliseconds evacuationBound,
    Common::Milliseconds configurationBound, Common::Milliseconds leavingBound);

// The time until a request of a router that has lost its links is sent through another router.
std::vector<Common::TimeBudget> lostLinkBudgets();

} // namespace Brassladder::RouteServing::Routing
