// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/OverloadPolicy.h"

// Metrics of the admission under overload (Routing/OverloadPolicy.h). Thread-safe.
namespace Brassladder::RouteServing::Gateway::OverloadMetrics {

// Counts the final decision on a request. Ranks from `maxRankLabel` on share a label.
inline constexpr size_t maxRankLabel = 9;
void decided(const Routing::OverloadDecision&, size_t rank);
// Observes how long a request was held.
void held(Common::Duration);
// Sets the number of held requests and the time since the longest held one has arrived; called when the metrics are
// read.
void heldNow(size_t count, Common::Duration oldest);
// Observes the difference between the expected and the actual first event of a generation.
void startError(Common::Duration expected, Common::Duration actual);

} // namespace Brassladder::RouteServing::Gateway::OverloadMetrics
