// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Admission.h"

#include <optional>

// What becomes of a request when every upstream that may take it has asked for rest. Pure.
namespace Brassladder::RouteServing::Routing {

// The refusal of a request for which no upstream is left. `firstReturn`: of any upstream of the service.
Refusal refusalWithoutUpstream(std::optional<Common::TimePoint> firstReturn, bool mayHaveRun, Common::TimePoint now);

} // namespace Brassladder::RouteServing::Routing
