// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/BoundBudgets.h"

#include "RouteServing/Routing/ExchangeInterval.h"
#include "RouteServing/Routing/FleetMember.h"
#include "RouteServing/Routing/FreshnessLease.h"
#include "RouteServing/Routing/RelayTimes.h"
#include "RouteServing/Routing/UpstreamReachability.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using Common::Milliseconds;
using Common::TimeBudget;

// All values are percentages of a bound.
static constexpr int storeResponsePercent = 5;
static constexpr int exchangePercent = 3;
static constexpr int sendPercent = 5;
static constexpr int percentDivisor = 100;

static constexpr Milliseconds minStoreResponse { 20 };
static constexpr Milliseconds minExchange { 10 };
static constexpr Milliseconds minSend { 20 };

TransitTimes TransitTimes::within(Milliseconds bound)
{
    return { std::max(bound * storeResponsePercent / percentDivisor, minStoreResponse),
        std::max(bound * exchangePercent / percentDivisor, minExchange),
        std::max(bound * sendPercent / percentDivisor, minSend) };
}

// Returns the time from the start of an attempt whose response is lost until the next attempt.
static Milliseconds lostResponseTime(const RefreshIntervals& intervals, const StoreReadTimes& times)
{
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
    budget.add("lost response", lostResponseTime(intervals, intervals.upstreamReads), lostResponses);
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
    budget.add("lost response", lostResponseTime(intervals, intervals.upstreamReads), lostResponses);
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

// Configuration

// Decoding a configuration and replacing the active one, as a percentage of the bound.
static constexpr int activationPercent = 5;

// The configuration is accepted while a store reader's long poll waits, so the store responds to it at once.
static TimeBudget longPollBudget(
    const RefreshIntervals& intervals, const std::string& path, Milliseconds bound, unsigned lostResponses)
{
    TimeBudget budget("configuration", path, bound);
    if (lostResponses)
        budget.add("long poll", intervals.configurationLongPoll);
    budget.add("lost response", lostResponseTime(intervals, intervals.configurationReads), lostResponses);
    return budget.add("response of the store", TransitTimes::within(bound).storeResponse);
}

static TimeBudget ownConfigurationReadBudget(
    const RefreshIntervals& intervals, const std::string& path, Milliseconds bound, unsigned lostResponses)
{
    TimeBudget budget("configuration", path, bound);
    budget.add("age from which the store is read", intervals.configurationStaleAfter);
    budget.add("interval of age checks", intervals.staleCheckInterval);
    budget.add("lost response", lostResponseTime(intervals, intervals.configurationReads), lostResponses);
    return budget.add("response of the store", TransitTimes::within(bound).storeResponse);
}

std::vector<TimeBudget> configurationBudgets(const RefreshIntervals& intervals, Milliseconds bound, size_t routers)
{
    auto activation = bound * activationPercent / percentDivisor;
    auto exchange = TransitTimes::within(bound).exchange;
    auto hubStops = longPollBudget(intervals, "subscriber, its hub stops", bound, 0);
    hubStops.add("exchange between routers", exchange, 2);
    hubStops.add("interval of requests", exchangeInterval(routers, intervals.longestExchangeInterval));
    hubStops.add("time-out of the hub", intervals.hubResponseTimeout);
    std::vector<TimeBudget> budgets {
        longPollBudget(intervals, "store reader, one response lost", bound, 1),
        longPollBudget(intervals, "store reader, two responses lost", bound, 2),
        longPollBudget(intervals, "subscriber, one response of the store lost", bound, 1)
            .add("exchange between routers", exchange, 2),
        hubStops,
    };
    if (FleetMember::allMayReadStore(routers)) {
        budgets.push_back(ownConfigurationReadBudget(intervals, "subscriber, no hub responds", bound, 0));
        budgets.push_back(
            ownConfigurationReadBudget(intervals, "subscriber, no hub and one response of the store", bound, 1));
    }
    for (auto& budget : budgets)
        budget.add("activation", activation);
    return budgets;
}

// Keys and evacuations

std::vector<TimeBudget> keyBudgets(Milliseconds bound)
{
    TimeBudget budget("withdrawn keys", "nothing confirms the configuration", bound);
    budget.add("lease on the keys", FreshnessLease::durationWithin(bound));
    // The lease is checked again when the connection to the upstream is established.
    return { budget.add("way to the upstream", TransitTimes::within(bound).send) };
}

std::vector<TimeBudget> evacuationBudgets(const RefreshIntervals& intervals, Milliseconds evacuationBound,
    Milliseconds configurationBound, Milliseconds leavingBound)
{
    auto send = TransitTimes::within(leavingBound).send;
    auto listResponse = TransitTimes::within(leavingBound).storeResponse;
    TimeBudget reader("evacuation", "subscriber, one response of the store lost", evacuationBound);
    reader.add("long poll", intervals.configurationLongPoll);
    reader.add("lost response", lostResponseTime(intervals, intervals.configurationReads));
    reader.add("response of the store", TransitTimes::within(configurationBound).storeResponse);
    reader.add("interval of reads of the list", intervals.upstreamInterval);
    reader.add("response of the store", listResponse);
    reader.add("exchange between routers", TransitTimes::within(leavingBound).exchange, 2);
    reader.add("way to the upstream", send);
    // The evacuations are read beside the list, may be known only at its next read, and their complete read is not
    // hedged.
    TimeBudget alone("evacuation", "subscriber, no hub and one response of the store", evacuationBound);
    alone.add("age from which the store is read", intervals.upstreamsStaleAfter);
    alone.add("interval of age checks", intervals.staleCheckInterval);
    alone.add("lost response", intervals.configurationReads.responseTimeout + intervals.initialBackoff);
    alone.add("response of the store", TransitTimes::within(configurationBound).storeResponse);
    alone.add("interval of reads of the list", intervals.upstreamInterval);
    alone.add("response of the store", listResponse);
    return { reader, alone.add("way to the upstream", send) };
}

// Lost links

static constexpr Milliseconds lostLinkBound { 1000 };

std::vector<TimeBudget> lostLinkBudgets()
{
    auto exchange = TransitTimes::within(lostLinkBound).exchange;
    auto send = TransitTimes::within(lostLinkBound).send;
    TimeBudget silent("lost links", "silent links, all routers but the last one asked have none either", lostLinkBound);
    silent.add("direct attempt", maxRelayDelay);
    silent.add("interval between routers", relayInterval, maxRelays - 1);
    TimeBudget refused("lost links", "connections refused, no router asked first has links", lostLinkBound);
    refused.add("failed direct attempt", exchange, UpstreamReachability::failuresToSuspect);
    refused.add("refusal of a router", exchange * 2, maxRelays - 1);
    for (auto* budget : { &silent, &refused }) {
        budget->add("tunnel", exchange, 2);
        budget->add("way to the upstream", send);
    }
    return { silent, refused };
}

} // namespace Brassladder::RouteServing::Routing
