// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/DutyRunner.h"
#include "RouteServing/Gateway/PlatformWatcher.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <vector>

namespace Brassladder::RouteServing::Gateway {

// What stands of the services whose engines the fleet orders, by the configuration in force and the list of upstreams.
// None before both are known.
std::vector<ServiceCapacity> capacityOfServices(const PlatformWatcher&, const Routing::UpstreamRegistry&);

} // namespace Brassladder::RouteServing::Gateway
