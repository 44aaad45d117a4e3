// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace Brassladder::RouteServing::Routing {

// How long the engines of a service take for their work, on average.
struct ServicePace {
    double millisecondsPerPrefillToken { 0 };
    double millisecondsPerDecodedToken { 0 }; // Of one generation in a batch.
};

// How fast each engine is, from the observations of all routers. Synchronized internally.
class EnginePaces {
public:
    // Returns the ratio of the engine's time to the time that the service's average takes for the same work; 1 while
    // there are no observations. `upstream` is the short hash of the engine's id.
    double slowdownOf(uint32_t, Common::TimePoint) const { return 1; }
    // Returns nullopt while there are no observations.
    std::optional<ServicePace> servicePace(std::string_view, Common::TimePoint) const { return std::nullopt; }
};

} // namespace Brassladder::RouteServing::Routing
