// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/FirstEventEstimate.h"

#include <string_view>

namespace Brassladder::RouteServing::Routing {

// The router's view of one model engine when it places a generation.
struct EngineState {
    std::string_view id;
    double running { 0 }; // Requests of all routers, as far as reported.
    double decodeHeavy { 0 }; // The decode-heavy ones among them.
    double prefillTokens { 0 }; // Prompt tokens waiting for their prefill, of generations that are on time.
    FirstEventEstimate firstEvent;
    bool isOutlier { false }; // Fails more often than the others.
};

} // namespace Brassladder::RouteServing::Routing
