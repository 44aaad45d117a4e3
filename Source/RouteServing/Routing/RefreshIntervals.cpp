// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/RefreshIntervals.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

// All in percent of a bound, so that they scale with the settings. A read confirms what was in force when it began.
// While nothing changes it takes the whole long poll, so a confirmation is up to two long polls old when it reaches
// another router: half of the bound. Chosen, not measured.
static constexpr int configurationLongPollPercent = 25;
// Leaves the rest of the bound for a read of one's own. Measured: 48% of the key lease instead broke the bound on
// configurations in bursts on seven routers (docs/DESIGN.md, "when state is stale").
static constexpr int configurationStalePercent = 70;
// While the store cannot be read, it is asked again after at most this long. Chosen, not measured.
static constexpr int maxBackoffPercent = 35;
// The rest of the bound is for a slow response and for the request that was just sent. Chosen, not measured.
static constexpr int upstreamIntervalPercent = 45;
// As for configurations: leaves time for a read of one's own. Chosen, not measured.
static constexpr int upstreamsStalePercent = 72;
static constexpr int wholePercent = 100;
// After the first failed read. Chosen, not measured.
static constexpr Common::Milliseconds initialBackoff { 100 };

RefreshIntervals RefreshIntervals::within(Common::Milliseconds configurationBound, Common::Milliseconds leavingBound)
{
    RefreshIntervals intervals;
    intervals.configurationLongPoll = configurationBound * configurationLongPollPercent / wholePercent;
    intervals.configurationStaleAfter = configurationBound * configurationStalePercent / wholePercent;
    intervals.upstreamInterval = leavingBound * upstreamIntervalPercent / wholePercent;
    intervals.upstreamsStaleAfter = leavingBound * upstreamsStalePercent / wholePercent;
    intervals.initialBackoff = Routing::initialBackoff;
    intervals.maxBackoff = configurationBound * maxBackoffPercent / wholePercent;
    return intervals;
}

Common::Milliseconds RefreshIntervals::backoffAfter(unsigned failures) const
{
    return exponentialBackoff(initialBackoff, maxBackoff, failures);
}

// So many times the longest backoff of a store reader. Chosen, not measured.
static constexpr int nonReaderBackoffFactor = 4;

Common::Milliseconds RefreshIntervals::nonReaderBackoffAfter(unsigned failures) const
{
    if (failures <= 1)
        return initialBackoff;
    return exponentialBackoff(maxBackoff, maxBackoff * nonReaderBackoffFactor, failures - 1);
}

Common::Milliseconds exponentialBackoff(Common::Milliseconds initial, Common::Milliseconds longest, unsigned failures)
{
    auto backoff = initial;
    for (unsigned failure = 1; failure < failures && backoff < longest; ++failure)
        backoff *= 2;
    return std::min(backoff, longest);
}

Common::Milliseconds jittered(Common::Milliseconds backoff, double random)
{
    return backoff - std::chrono::duration_cast<Common::Milliseconds>(backoff * random / 2);
}

} // namespace Brassladder::RouteServing::Routing
