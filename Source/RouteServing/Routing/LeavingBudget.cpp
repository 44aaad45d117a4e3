// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/LeavingBudget.h"

#include "RouteServing/Routing/ExchangeInterval.h"
#include "RouteServing/Routing/FleetMember.h"
#include "RouteServing/Routing/OutstandingRequests.h"

namespace Brassladder::RouteServing::Routing {

using Common::Milliseconds;
using Common::TimeBudget;

// All values are percentages of a bound.
static constexpr int storeResponsePercent = 5;
static constexpr int exchangePercent = 3;
static constexpr int sendPercent = 5;
static constexpr int percentDivisor = 100;

TransitTimes TransitTimes::within(Milliseconds bound)
{
    return { bound * storeResponsePercent / percentDivisor, bound * exchangePercent / percentDivisor,
        bound * sendPercent / percentDivisor };
}

// Returns the time from the start of an attempt whose response is lost until the next attempt.
static Milliseconds lostResponseTime(const RefreshIntervals& intervals)
{
    const auto& times = intervals.upstreamReads;
    bool isHedged = times.hedgeAfter.count() > 0;
    return isHedged ? times.hedgeAfter : times.responseTimeout + intervals.initialBackoff;
}

// The upstream leaves right after the store has responded to a read.
static TimeBudget storeReaderBudget(
    const RefreshIntervals& intervals, const std::string& path, Milliseconds bound, unsigned lostResponses)
{
    auto transit = TransitTimes::within(bound);
    TimeBudget budget("leaving", path, bound);
    budget.add("interval of reads", intervals.upstreamInterval);
    budget.add("lost response", lostResponseTime(intervals), lostResponses);
    budget.add("response of the store", transit.storeResponse);
    return budget;
}

// No other router confirms the list any more, whatever the reason.
static TimeBudget ownReadBudget(
    const RefreshIntervals& intervals, const std::string& path, Milliseconds bound, unsigned lostResponses)
{
    auto transit = TransitTimes::within(bound);
    TimeBudget budget("leaving", path, bound);
    budget.add("age from which the store is read", intervals.upstreamsStaleAfter);
    budget.add("interval of age checks", intervals.staleCheckInterval);
    budget.add("lost response", lostResponseTime(intervals), lostResponses);
    budget.add("response of the store", transit.storeResponse);
    return budget.add("way to the upstream", transit.send);
}

// The way of a change: a store reader, a hub, a subscriber.
static TimeBudget exchangeBudget(const RefreshIntervals& intervals, const std::string& path, Milliseconds bound)
{
    auto budget = storeReaderBudget(intervals, path, bound, 0);
    return budget.add("exchange between routers", TransitTimes::within(bound).exchange, 2);
}

std::vector<TimeBudget> leavingBudgets(const RefreshIntervals& intervals, Milliseconds bound, size_t routers)
{
    auto send = TransitTimes::within(bound).send;
    std::vector<TimeBudget> budgets {
        storeReaderBudget(intervals, "store reader", bound, 0).add("way to the upstream", send),
        storeReaderBudget(intervals, "store reader, one response lost", bound, 1).add("way to the upstream", send),
        storeReaderBudget(intervals, "store reader, two responses lost", bound, 2).add("way to the upstream", send),
        exchangeBudget(intervals, "subscriber", bound).add("way to the upstream", send),
    };
    if (FleetMember::allMayReadStore(routers)) {
        budgets.push_back(ownReadBudget(intervals, "subscriber, no hub responds", bound, 0));
        budgets.push_back(ownReadBudget(intervals, "subscriber, no hub and one response of the store", bound, 1));
        return budgets;
    }
    auto interval = exchangeInterval(routers, intervals.longestExchangeInterval);
    budgets.push_back(exchangeBudget(intervals, "subscriber of a large fleet, its hub stops", bound)
                          .add("interval of requests", interval)
                          .add("time-out of the hub", intervals.hubResponseTimeout)
                          .add("way to the upstream", send));
    return budgets;
}

} // namespace Brassladder::RouteServing::Routing
