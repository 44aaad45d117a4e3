// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/ReturnTime.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using Common::Milliseconds;

// Callers honour a delay of at most this part of the time that they have left.
static constexpr int maxPartOfTimeLeft = 3;
// Least part of the time left after which callers return, so that OverloadPolicy can tell them from others.
static constexpr int minPartOfTimeLeft = 8;
// Part of the longest delay that remains for spreading callers when the backlog is longer.
static constexpr int spreadPartOfLongest = 3;

Milliseconds returnTime(const RefusedCaller& caller, double random)
{
    auto longest = std::max(Milliseconds(0), caller.left / maxPartOfTimeLeft);
    auto backlog = std::max(caller.expectedStart, caller.left / minPartOfTimeLeft);
    auto shortest = std::min(std::max(caller.shortestDelay, backlog),
        std::max(caller.shortestDelay, longest - longest / spreadPartOfLongest));
    shortest = std::min(shortest, longest);
    auto latest = std::min(2 * shortest, longest);
    // Each rank has a part of the time of its own, after those of all more urgent ranks.
    auto position = 1 - 1 / (1 + static_cast<double>(caller.rank) + std::clamp(random, 0.0, 1.0));
    auto spread = static_cast<double>((latest - shortest).count()) * position;
    return shortest + Milliseconds(static_cast<int64_t>(spread));
}

} // namespace Brassladder::RouteServing::Routing
