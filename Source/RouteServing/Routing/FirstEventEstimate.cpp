// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/FirstEventEstimate.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Routing {

// Half of what was observed counts no more after this time. Half-lives of 5 and 15 s served as well on the users'
// heaviest days (worth 0.694 and 0.693, mean of 20 days); the shorter one follows an engine that turns slow.
static constexpr double halfLifeSeconds = 5.0;
// What all engines of the service showed counts as this many observations of the engine. 5 and 20 served as well
// (worth 0.696 and 0.694, mean of 20 days).
static constexpr double serviceWeightObservations = 5.0;
// Below this share of the spread that its terms could have, the slope is noise: all observations had nearly the same
// number of tokens. Chosen, not measured.
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
    // Without a base all of the time would go to the tokens: the slope can't be steeper.
    double steepest = sums.milliseconds / sums.tokens;
    double spread = sums.count * sums.tokensSquared - sums.tokens * sums.tokens;
    double slope = steepest;
    if (spread > minSpreadRatio * sums.count * sums.tokensSquared)
        slope = (sums.count * sums.tokensTimesMilliseconds - sums.tokens * sums.milliseconds) / spread;
    slope = std::clamp(slope, 0.0, steepest);
    return { (sums.milliseconds - slope * sums.tokens) / sums.count, slope };
}

} // namespace Brassladder::RouteServing::Routing
