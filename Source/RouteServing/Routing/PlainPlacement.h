// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <span>

// Chooses among the upstreams of a plain service. Pure but for the hook that draws random numbers.
namespace Brassladder::RouteServing::Routing {

// What is known of one upstream when a request is to be placed.
struct PlainCandidate {
    double outstanding { 0 }; // Requests there, of all routers as far as is known.
    unsigned slots { 1 }; // Requests that it serves at once.
    bool isInOwnDomain { true }; // In the router's own failure domain.
    double errorRate { 0 }; // UpstreamHealth::errorRate.
};

// Index of the candidate with the lowest cost; none when there is no candidate. `random`: evenly distributed in [0, 1).
std::optional<size_t> choosePlainUpstream(std::span<const PlainCandidate>, const std::function<double()>& random);

// An upstream whose error rate exceeds the lowest of its service by more than this is an outlier. Smaller differences
// may be chance: one failed attempt alone moves the rate by 0.15. Chosen, not measured.
inline constexpr double outlierErrorRateExcess = 0.25;

} // namespace Brassladder::RouteServing::Routing
