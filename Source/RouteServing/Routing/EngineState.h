// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/FirstEventEstimate.h"

#include <string_view>

namespace Brassladder::RouteServing::Routing {

// What is known of one model engine when a generation is to be placed.
struct EngineState {
    std::string_view id;
    double running { 0 }; // Requests there, of all routers as far as is known.
    double decodeHeavy { 0 }; // Of those, the decode-heavy ones.
    double prefillTokens { 0 }; // Prompt tokens that wait there for their prefill, of generations that go on time.
    FirstEventEstimate firstEvent;
    bool isOutlier { false }; // Fails more often than the others.
};

} // namespace Brassladder::RouteServing::Routing
