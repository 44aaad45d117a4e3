// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Upstream.h"

#include <algorithm>
#include <cstdint>
#include <optional>

// The limit of requests a second that an upstream has named for all routers together. Pure.
namespace Brassladder::RouteServing::Routing {

// What one response states of its upstream's limit. No rate: it has no limit, or has one no longer.
struct LimitStatement {
    std::optional<double> requestsPerSecond;
};

// Above this, a limit limits nothing; in requests a second.
inline constexpr double maxRequestsPerSecond = 1e6;

// As routers keep and tell it: in whole thousandths, rounded down, so that it is the same for all of them.
double roundedLimit(double requestsPerSecond);

// What is known of the limit of one start of an upstream, from responses to any router.
//
// Times only rise, so routers that tell each other what they know agree in the end, in whatever order they hear it.
struct UpstreamLimit {
    double requestsPerSecond { 0 }; // Rounded.
    // When the newest response came that named the limit.
    Common::TimePoint namedAt { Common::TimePoint::min() };
    // When the newest request was sent whose response named none.
    Common::TimePoint unnamedSince { Common::TimePoint::min() };

    // Whether requests need a share of the limit. Responses overtake each other, and times of other routers are
    // estimates, so only a response to a request that was sent well after the last naming ends a limit.
    bool isInForce() const;
    void merge(const UpstreamLimit&);
    // When something was last learned.
    Common::TimePoint learned() const { return std::max(namedAt, unnamedSince); }
};

// Names one start of an upstream in messages between routers. Two starts with the same key have one limit together.
uint32_t limitKey(const UpstreamRecord&);

} // namespace Brassladder::RouteServing::Routing
