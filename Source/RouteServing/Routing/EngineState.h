// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/FirstEventEstimate.h"

#include <string_view>

namespace Brassladder::RouteServing::Routing {

// The router's view of one model engine when it places a generation.
struct EngineState {
    std::string_view id;
    double running { 0 }; // Requests of all routers, as far as load reports cover them.
    double decodeHeavy { 0 }; // Number of decode-heavy requests among them.
    double prefillTokens { 0 }; // Prompt tokens that wait for their prefill; only of generations that are on time.
    FirstEventEstimate firstEvent;
    bool isOutlier { false }; // See outlierErrorRateExcess.
    // Ratio of the engine's time to the time that the service's average takes for the same work.
    double slowdown { 1 };
};

} // namespace Brassladder::RouteServing::Routing
