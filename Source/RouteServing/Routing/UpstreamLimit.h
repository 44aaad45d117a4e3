// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Upstream.h"

#include <algorithm>
#include <cstdint>
#include <optional>

// The limit, in requests per second, that an upstream sets for all routers together. Does no I/O and reads no clock.
namespace Brassladder::RouteServing::Routing {

// What one response states about its upstream's limit. An empty rate means that the upstream has no limit, or no longer
// has one.
struct LimitStatement {
    std::optional<double> requestsPerSecond;
};

// Upper bound of a limit; a higher one has no effect.
inline constexpr double maxRequestsPerSecond = 1e6;

// Rounds a limit down to whole thousandths. Routers store and exchange it in this form, so that all have the same
// value.
double roundedLimit(double requestsPerSecond);

// State of the limit of one upstream incarnation, learned from responses to any router.
//
// Its times only increase. Routers that exchange their state therefore converge, in whatever order messages arrive.
struct UpstreamLimit {
    double requestsPerSecond { 0 }; // Rounded.
    // Arrival time of the newest response that stated the limit.
    Common::TimePoint statedAt { Common::TimePoint::min() };
    // Send time of the newest request whose response stated no limit.
    Common::TimePoint unstatedRequestSentAt { Common::TimePoint::min() };

    // Returns whether the limit applies, so that each request consumes quota. Responses may arrive out of order, and
    // times from other routers are estimates. Therefore a limit ends only with a response without a limit to a request
    // that was sent at least `reorderTolerance` after the limit was last stated.
    bool isInForce() const;
    void merge(const UpstreamLimit&);
    // Time of the newest information.
    Common::TimePoint learned() const { return std::max(statedAt, unstatedRequestSentAt); }
};

// Identifies one upstream incarnation in messages between routers. Two incarnations with the same key share one limit.
uint32_t limitKey(const UpstreamRecord&);

} // namespace Brassladder::RouteServing::Routing
