// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/DutyRunner.h"
#include "RouteServing/Gateway/PlatformWatcher.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <vector>

namespace Brassladder::RouteServing::Gateway {

// What stands and what is outstanding of the services whose engines the fleet orders, by the configuration in force,
// the list of upstreams and the loads that routers told. None before all are known. `loadFactor`: the load of all
// routers over that of those that are heard.
std::vector<ServiceCapacity> collectServiceCapacities(
    const PlatformWatcher&, const Routing::UpstreamRegistry&, double loadFactor, Common::TimePoint now);

} // namespace Brassladder::RouteServing::Gateway
