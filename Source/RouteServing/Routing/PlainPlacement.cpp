// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/PlainPlacement.h"

#include <algorithm>
#include <limits>

namespace Brassladder::RouteServing::Routing {

// Cost of using another failure domain, as a share of an upstream's full load: traffic between domains is billed, and
// the round trip is a considerable part of a short call.
static constexpr double otherDomainCost = 0.34;
// Cost factor of an outlier, so that it is used only while the others are busy.
static constexpr double outlierCostFactor = 5.0;
// Costs vary randomly by up to this share. Otherwise all routers would choose the same one of several equal upstreams.
static constexpr double jitterShare = 0.02;

static double baseCost(const PlainCandidate& candidate)
{
    double cost = candidate.slowdown * (candidate.outstanding + 1) / std::max(1U, candidate.slots);
    return candidate.isInOwnDomain ? cost : cost + otherDomainCost;
}

std::optional<size_t> choosePlainUpstream(
    std::span<const PlainCandidate> candidates, const std::function<double()>& random)
{
    double lowestErrorRate = 1;
    for (const auto& candidate : candidates)
        lowestErrorRate = std::min(lowestErrorRate, candidate.errorRate);
    std::optional<size_t> best;
    double bestCost = std::numeric_limits<double>::max();
    for (size_t index = 0; index < candidates.size(); ++index) {
        double cost = baseCost(candidates[index]);
        if (candidates[index].errorRate - lowestErrorRate > outlierErrorRateExcess)
            cost *= outlierCostFactor;
        cost *= 1 + jitterShare * random();
        if (cost < bestCost) {
            best = index;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace Brassladder::RouteServing::Routing
