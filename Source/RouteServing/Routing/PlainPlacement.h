// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <span>

// Selects an upstream of a plain service. Pure, except for the source of random numbers.
namespace Brassladder::RouteServing::Routing {

// The router's view of one upstream when it places a request.
struct PlainCandidate {
    double outstanding { 0 }; // Requests of all routers, as far as reported.
    unsigned slots { 1 }; // Requests that the upstream serves at once.
    bool isInOwnDomain { true }; // Whether the upstream is in the router's own failure domain.
    double errorRate { 0 }; // See UpstreamHealth::errorRate.
    double slowdown { 1 }; // As the upstream recently reported (ReportedLoad); 1 if it states none.
};

// Returns the index of the candidate with the lowest cost, or nullopt if there is none. `random` is uniformly
// distributed in [0, 1).
std::optional<size_t> choosePlainUpstream(std::span<const PlainCandidate>, const std::function<double()>& random);

// An upstream is an outlier if its error rate exceeds the lowest one of its service by more than this. A single failed
// attempt raises the rate by 0.15, so smaller differences may be chance.
inline constexpr double outlierErrorRateExcess = 0.25;

} // namespace Brassladder::RouteServing::Routing
