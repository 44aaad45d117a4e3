// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/UpstreamLimit.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Must exceed the error of `statedAt`, which grows with each of up to three messages between routers
// (Gateway/QuotaExchange).
static constexpr Common::Milliseconds reorderTolerance = 1000ms;

double roundedLimit(double requestsPerSecond)
{
    constexpr double unitsPerRequest = 1000;
    return std::floor(std::min(requestsPerSecond, maxRequestsPerSecond) * unitsPerRequest) / unitsPerRequest;
}

bool UpstreamLimit::isInForce() const
{
    if (statedAt == Common::TimePoint::min())
        return false;
    return unstatedRequestSentAt < statedAt + reorderTolerance;
}

void UpstreamLimit::merge(const UpstreamLimit& other)
{
    bool isNewer = other.statedAt > statedAt;
    bool isLowerAtSameTime = other.statedAt == statedAt && other.requestsPerSecond < requestsPerSecond;
    if (isNewer || isLowerAtSameTime)
        requestsPerSecond = other.requestsPerSecond;
    statedAt = std::max(statedAt, other.statedAt);
    unstatedRequestSentAt = std::max(unstatedRequestSentAt, other.unstatedRequestSentAt);
}

uint32_t limitKey(const UpstreamRecord& upstream)
{
    return shortHash(upstream.id + "/" + std::to_string(upstream.born));
}

} // namespace Brassladder::RouteServing::Routing
