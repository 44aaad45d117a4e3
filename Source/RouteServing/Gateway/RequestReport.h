// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Gateway/StreamTimes.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// The state that a request was decided on.
struct DecisionBasis {
    uint64_t configurationVersion { 0 };
    Common::Milliseconds configurationAge { 0 }; // Since it was last confirmed.
    Common::Milliseconds upstreamsAge { 0 }; // Since the list was last confirmed.
};

// What the log line at the end of a request says (docs/OPERATIONS.md, `request.end`).
struct RequestReport {
    std::string requestId;
    Common::TimePoint arrived;
    unsigned status { 0 }; // Zero when no response was begun.
    std::string reason; // Of the router's own refusal, or why a response was cut; else empty.
    std::string route; // Empty when none was found.
    std::optional<DecisionBasis> basis; // None when no configuration was known.
    std::vector<std::string> attemptedUpstreams; // By id, in order.
    // As estimated when the last upstream was chosen, a generation's engine only.
    uint64_t queuedPrefillTokens { 0 };
    uint64_t prefillTokens { 0 };
    Common::Milliseconds expectedFirstEvent { 0 }; // After the choice.
    bool isExpectedLate { false };
    StreamTimes streamTimes;
    std::string
        namedLimit; // That the last response named of its upstream, as it stood there; empty when it named none.
    Common::TimePoint lastPlaced {}; // When the last upstream was chosen.

    // An upstream was chosen for the next attempt.
    void recordPlacement(const Routing::UpstreamRegistry::Placement&);
};

// Writes the log line and counts the request.
void reportRequestEnd(const RequestReport&, Common::TimePoint now);

} // namespace Brassladder::RouteServing::Gateway
