// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/DutyRunner.h"
#include "RouteServing/Gateway/PlatformWatcher.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <vector>

namespace Brassladder::RouteServing::Gateway {

// Returns the engines and the outstanding load of every service that has scaling terms. Uses the active configuration,
// the list of upstreams and the loads that routers have reported. Returns an empty list until the configuration and the
// list of upstreams are known. `loadFactor` scales the known load up to the load of all routers, including those whose
// reports are missing.
std::vector<ServiceCapacity> collectServiceCapacities(
    const PlatformWatcher&, const Routing::UpstreamRegistry&, double loadFactor, Common::TimePoint now);

} // namespace Brassladder::RouteServing::Gateway
