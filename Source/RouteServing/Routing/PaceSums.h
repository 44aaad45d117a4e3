// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <span>
#include <unordered_map>

namespace Brassladder::RouteServing::Routing {

// Work of an engine that routers observed recently, and the time that it took. Weights decay exponentially, so the sum
// describes about the last second. Sums of several routers are additive. Not thread-safe.
struct PaceSums {
    double prefillTokens { 0 };
    double prefillMilliseconds { 0 };
    double decodeTokens { 0 };
    double decodeMilliseconds { 0 };
    Common::TimePoint at {}; // The weights are as of this time.

    double milliseconds() const { return prefillMilliseconds + decodeMilliseconds; }
    // Multiplies all sums by the factor.
    void scale(double factor);
    // Returns the sums with the weights as of a later time.
    PaceSums decayedTo(Common::TimePoint) const;
    // Adds sums that may be as of another time. The result is as of the later one.
    void add(const PaceSums&);
};

using PacesByUpstream = std::unordered_map<uint32_t, PaceSums>; // Keyed by the short hash of the engine's id.

// Returns the rows of the given engines.
PacesByUpstream selectPaces(const PacesByUpstream&, std::span<const uint32_t> upstreams);

// Adds the sums of each engine in the second map to those of that engine in the first.
void addLoads(PacesByUpstream&, const PacesByUpstream&);

// Half-life of the weights. It is short, so that the sums of a changed engine soon consist of observations since the
// change. EnginePaces accumulates them over a longer time.
inline constexpr double recentHalfLifeSeconds = 0.7;

// Paces of other routers that are older than this are ignored. Five intervals of their exchange.
inline constexpr Common::Milliseconds paceReportMaxAge { 5000 };

} // namespace Brassladder::RouteServing::Routing
