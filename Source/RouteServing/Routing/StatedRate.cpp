// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/StatedRate.h"

#include <cmath>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Must exceed the error of `statedAt`, which grows with each of up to three messages between routers
// (Gateway/QuotaExchange).
static constexpr Common::Milliseconds reorderTolerance = 1000ms;

double roundedRate(double perSecond)
{
    constexpr double unitsPerRequest = 1000;
    return std::floor(std::min(perSecond, maxStatedRate) * unitsPerRequest) / unitsPerRequest;
}

StatedRate StatedRate::fromResponse(
    const RateStatement& statement, Common::TimePoint requestSent, Common::TimePoint now)
{
    StatedRate rate;
    if (statement.perSecond) {
        rate.perSecond = roundedRate(*statement.perSecond);
        rate.statedAt = now;
    } else {
        rate.unstatedRequestSentAt = requestSent;
    }
    return rate;
}

bool StatedRate::isInForce() const { return wasStated() && unstatedRequestSentAt < statedAt + reorderTolerance; }

StatementChange StatedRate::merge(const StatedRate& other)
{
    auto before = *this;
    bool isNewer = other.statedAt > statedAt;
    bool isLowerAtSameTime = other.statedAt == statedAt && other.perSecond < perSecond;
    if (isNewer || isLowerAtSameTime)
        perSecond = other.perSecond;
    statedAt = std::max(statedAt, other.statedAt);
    unstatedRequestSentAt = std::max(unstatedRequestSentAt, other.unstatedRequestSentAt);
    if (isInForce() != before.isInForce())
        return isInForce() ? StatementChange::Stated : StatementChange::Ended;
    return isInForce() && perSecond != before.perSecond ? StatementChange::Changed : StatementChange::None;
}

uint32_t statementKey(const UpstreamRecord& upstream)
{
    return shortHash(upstream.id + "/" + std::to_string(upstream.born));
}

} // namespace Brassladder::RouteServing::Routing
