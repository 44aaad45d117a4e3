// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/PaceSums.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Routing {

void PaceSums::scale(double factor)
{
    prefillTokens *= factor;
    prefillMilliseconds *= factor;
    decodeTokens *= factor;
    decodeMilliseconds *= factor;
}

PaceSums PaceSums::decayedTo(Common::TimePoint later) const
{
    auto sums = *this;
    sums.at = std::max(at, later);
    sums.scale(std::exp2(-Common::toSeconds(sums.at - at) / recentHalfLifeSeconds));
    return sums;
}

void PaceSums::add(const PaceSums& more)
{
    *this = decayedTo(more.at);
    auto added = more.decayedTo(at);
    prefillTokens += added.prefillTokens;
    prefillMilliseconds += added.prefillMilliseconds;
    decodeTokens += added.decodeTokens;
    decodeMilliseconds += added.decodeMilliseconds;
}

PacesByUpstream selectPaces(const PacesByUpstream& paces, std::span<const uint32_t> upstreams)
{
    PacesByUpstream selected;
    for (auto upstream : upstreams) {
        if (auto found = paces.find(upstream); found != paces.end())
            selected.insert(*found);
    }
    return selected;
}

void addLoads(PacesByUpstream& sum, const PacesByUpstream& more)
{
    for (const auto& [upstream, sums] : more) {
        auto [found, isNew] = sum.try_emplace(upstream, sums);
        if (!isNew)
            found->second.add(sums);
    }
}

} // namespace Brassladder::RouteServing::Routing
