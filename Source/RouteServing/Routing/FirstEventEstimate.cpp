// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/FirstEventEstimate.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Routing {

// Half-life of the weight of an observation. It is short to follow an engine that slows down.
// Half-lives of 5 and 15 s served equally well on the heaviest days (0.694 and 0.693 of the value).
static constexpr double halfLifeSeconds = 5.0;
// The weight of all observations of the service, as a number of observations of the engine.
static constexpr double serviceWeightObservations = 5.0;
// Below this relative spread, all observations have nearly the same number of tokens, and the slope cannot be
// determined.
static constexpr double minSpreadRatio = 1e-6;

Common::Milliseconds FirstEventEstimate::delayFor(double tokens) const
{
    return Common::Milliseconds(std::llround(baseMilliseconds + millisecondsPerToken * tokens));
}

void FirstEventObservations::Sums::add(const Sums& more, double weight)
{
    count += weight * more.count;
    tokens += weight * more.tokens;
    milliseconds += weight * more.milliseconds;
    tokensSquared += weight * more.tokensSquared;
    tokensTimesMilliseconds += weight * more.tokensTimesMilliseconds;
}

FirstEventObservations::Sums FirstEventObservations::sumsAt(Common::TimePoint now) const
{
    Sums sums;
    sums.add(m_sums, std::exp2(-Common::toSeconds(now - m_at) / halfLifeSeconds));
    return sums;
}

void FirstEventObservations::record(double tokens, Common::Milliseconds elapsed, Common::TimePoint now)
{
    auto milliseconds = static_cast<double>(elapsed.count());
    m_sums = sumsAt(now);
    m_sums.add({ 1, tokens, milliseconds, tokens * tokens, tokens * milliseconds }, 1);
    m_at = now;
}

FirstEventEstimate FirstEventObservations::estimate(const FirstEventObservations& service, Common::TimePoint now) const
{
    auto sums = sumsAt(now);
    if (auto shared = service.sumsAt(now); shared.count > 0)
        sums.add(shared, serviceWeightObservations / shared.count);
    if (sums.count <= 0 || sums.tokens <= 0)
        return {};
    // The base cannot be negative, so the slope is at most that of a line without a base.
    double steepest = sums.milliseconds / sums.tokens;
    double spread = sums.count * sums.tokensSquared - sums.tokens * sums.tokens;
    double slope = steepest;
    if (spread > minSpreadRatio * sums.count * sums.tokensSquared)
        slope = (sums.count * sums.tokensTimesMilliseconds - sums.tokens * sums.milliseconds) / spread;
    slope = std::clamp(slope, 0.0, steepest);
    return { (sums.milliseconds - slope * sums.tokens) / sums.count, slope };
}

} // namespace Brassladder::RouteServing::Routing
