// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/RefreshIntervals.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

// All values are percentages of a bound.
//
// A read confirms the configuration as of its start. While nothing changes, it takes the whole long poll, and its
// result is the newest until the next read ends. The newest confirmation is therefore up to two long polls old: half of
// the bound.
static constexpr int configurationLongPollPercent = 25;
// Leaves the rest of the bound for a read by the router itself.
// With 48% of the key lease instead, bursts on seven routers exceeded the bound on configurations (docs/DESIGN.md).
static constexpr int configurationStalePercent = 70;
// Maximum backoff while the store cannot be read.
static constexpr int maxBackoffPercent = 35;
// With the two below, leaves time for two lost responses of the store (BoundBudgets.h).
static constexpr int upstreamIntervalPercent = 45;
// Longer than usual responses of the store take, so that few reads are attempted twice.
static constexpr int hedgePercent = 15;
// Leaves the rest of the bound for a read by the router itself and one lost response.
static constexpr int upstreamsStalePercent = 65;
static constexpr int staleCheckPercent = 5;
// Leaves the rest of the bound for the way to the upstream.
static constexpr int upstreamsMaxAgePercent = 95;
// A router that continues after it was suspended confirms its list within this time if the store responds.
static constexpr int listRefreshPercent = 10;
// Only bounds below two seconds shorten the exchange between routers.
static constexpr int hubResponsePercent = 25;
static constexpr int longestExchangePercent = 14;
static constexpr int percentDivisor = 100;
static constexpr Common::Milliseconds minHubResponseTimeout { 200 };
static constexpr Common::Milliseconds defaultInitialBackoff { 100 };

RefreshIntervals RefreshIntervals::within(Common::Milliseconds configurationBound, Common::Milliseconds leavingBound)
{
    RefreshIntervals intervals;
    intervals.configurationLongPoll = configurationBound * configurationLongPollPercent / percentDivisor;
    intervals.configurationStaleAfter = configurationBound * configurationStalePercent / percentDivisor;
    intervals.upstreamInterval = leavingBound * upstreamIntervalPercent / percentDivisor;
    intervals.upstreamsStaleAfter = leavingBound * upstreamsStalePercent / percentDivisor;
    auto shorterBound = std::min(leavingBound, configurationBound);
    intervals.staleCheckInterval = shorterBound * staleCheckPercent / percentDivisor;
    intervals.upstreamsMaxAge = leavingBound * upstreamsMaxAgePercent / percentDivisor;
    intervals.listRefreshTimeout = leavingBound * listRefreshPercent / percentDivisor;
    intervals.hubResponseTimeout = std::clamp(
        shorterBound * hubResponsePercent / percentDivisor, minHubResponseTimeout, intervals.hubResponseTimeout);
    intervals.longestExchangeInterval
        = std::clamp(shorterBound * longestExchangePercent / percentDivisor, minExchangeInterval, maxExchangeInterval);
    intervals.upstreamReads.hedgeAfter = leavingBound * hedgePercent / percentDivisor;
    intervals.upstreamReads.hedgesCompleteReads = true;
    intervals.configurationReads.hedgeAfter = configurationBound * hedgePercent / percentDivisor;
    intervals.initialBackoff = Routing::defaultInitialBackoff;
    intervals.maxBackoff = configurationBound * maxBackoffPercent / percentDivisor;
    return intervals;
}

Common::Milliseconds RefreshIntervals::backoffAfter(unsigned failures) const
{
    return exponentialBackoff(initialBackoff, maxBackoff, failures);
}

// Maximum backoff of a router that is not a store reader, as a multiple of that of a store reader.
static constexpr int nonReaderBackoffFactor = 4;

Common::Milliseconds RefreshIntervals::nonReaderBackoffAfter(unsigned failures) const
{
    if (failures <= 1)
        return initialBackoff;
    return exponentialBackoff(maxBackoff, maxBackoff * nonReaderBackoffFactor, failures - 1);
}

Common::Milliseconds exponentialBackoff(
    Common::Milliseconds initial, Common::Milliseconds maxBackoff, unsigned failures)
{
    auto backoff = initial;
    for (unsigned failure = 1; failure < failures && backoff < maxBackoff; ++failure)
        backoff *= 2;
    return std::min(backoff, maxBackoff);
}

Common::Milliseconds jittered(Common::Milliseconds backoff, double random)
{
    return backoff - std::chrono::duration_cast<Common::Milliseconds>(backoff * random / 2);
}

} // namespace Brassladder::RouteServing::Routing
