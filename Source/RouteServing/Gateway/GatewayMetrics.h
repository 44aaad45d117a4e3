// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Fate.h"

#include <string_view>

// Counters and histograms of a router that serves routes. Labels are reasons and fates, whose number is bounded.
namespace Brassladder::RouteServing::Gateway::GatewayMetrics {

// A request got its final answer. `reason`: of our own refusal or of a broken stream; empty when the upstream's answer
// was passed on.
void requestEnded(unsigned status, std::string_view reason, Common::Duration);
// The first event of a stream, or a whole answer, is on its way to the caller.
void firstByte(Common::Duration);
// A try gave no answer; `again`: the request goes on to another upstream.
void attemptFailed(Routing::Fate, bool again);

} // namespace Brassladder::RouteServing::Gateway::GatewayMetrics
