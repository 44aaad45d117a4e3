// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "UnitTests/RouteServing/Gateway/QuotaFleet.h"

#include <gtest/gtest.h>
#include <numeric>
#include <rapidcheck.h>

// Tests that a fleet complies with the limit that an upstream states for all routers together, including during faults
// of routers.
namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;

namespace {

// The operators' rule: in any 4 s, at most 1.5 times the limit plus five requests.
size_t allowedInWindow(double requestsPerSecond) { return static_cast<size_t>(1.5 * 4 * requestsPerSecond) + 5; }
// Time after which connected routers must comply with a new limit.
constexpr auto settlingTime = 3s;

struct FleetSize {
    size_t routers;
    double requestsPerSecond; // Of each router.
};
constexpr FleetSize fleetSizes[] { { 1, 20 }, { 2, 10 }, { 7, 6 }, { 88, 2 }, { 300, 2 } };
constexpr double limits[] { 0.25, 0.5, 1, 4, 30 };

size_t arrivalsAfter(const QuotaFleet& fleet, Common::TimePoint from)
{
    const auto& arrivals = fleet.arrivals();
    return static_cast<size_t>(
        std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& each) { return each.at >= from; }));
}

std::vector<size_t> routerRange(size_t first, size_t count)
{
    std::vector<size_t> routers(count);
    std::iota(routers.begin(), routers.end(), first);
    return routers;
}

} // namespace

TEST(QuotaFleetTest, NoWindowExceedsALimitAtAnySize)
{
    for (const auto& size : fleetSizes) {
        for (double limit : limits) {
            QuotaFleet fleet({ size.routers, size.requestsPerSecond, 1 });
            fleet.runFor(3s);
            fleet.setLimit(limit);
            auto limitStatedAt = fleet.now();
            fleet.runFor(12s);
            EXPECT_LE(fleet.maxArrivalsInWindow(limitStatedAt), allowedInWindow(limit))
                << size.routers << " routers, " << limit;
        }
    }
}

// Guards against quotas that are lost or withheld, so that callers wait although the upstream has capacity.
TEST(QuotaFleetTest, TheFleetUsesMostOfALimit)
{
    for (const auto& size : fleetSizes) {
        for (double limit : { 1.0, 10.0 / 3, 30.0 }) {
            QuotaFleet fleet({ size.routers, size.requestsPerSecond, 1 });
            fleet.runFor(3s);
            fleet.setLimit(limit);
            fleet.runFor(3s);
            auto from = fleet.now();
            fleet.runFor(20s);
            auto demand = static_cast<double>(size.routers) * size.requestsPerSecond;
            auto expected = 20 * std::min(limit, demand);
            EXPECT_GE(static_cast<double>(arrivalsAfter(fleet, from)), 0.6 * expected)
                << size.routers << " routers, " << limit;
        }
    }
}

// Also holds for a limit of zero: routers send a probe occasionally and detect the end of the limit.
TEST(QuotaFleetTest, ALimitEndsOnceTheUpstreamStatesNone)
{
    for (double limit : { 0.0, 1.0, 30.0 }) {
        QuotaFleet fleet({ 7, 6, 1 });
        fleet.runFor(3s);
        fleet.setLimit(limit);
        fleet.runFor(5s);
        EXPECT_EQ(fleet.limitedRouters(), 7U);
        fleet.setLimit(std::nullopt);
        fleet.runFor(12s);
        EXPECT_EQ(fleet.limitedRouters(), 0U) << limit;
        auto from = fleet.now();
        fleet.runFor(2s);
        EXPECT_GT(arrivalsAfter(fleet, from), 60U) << "routers send without a limit again";
    }
}

// Guards against rounding differences between a limit from a response and one from a peer: routers with different
// values would invalidate each other's quotas repeatedly.
TEST(QuotaFleetTest, AllRoutersStoreTheSameLimitValue)
{
    for (double limit : { 10.0 / 3, 0.29, 0.0004, 12.3456789, 1e9 }) {
        QuotaFleet fleet({ 7, 20, 1 });
        fleet.runFor(3s);
        fleet.setLimit(limit);
        fleet.runFor(3s);
        EXPECT_EQ(fleet.knownLimits().size(), 1U) << limit;
    }
}

// Guards against a burst: routers are granted quotas that they do not use, and then all have high demand at once.
TEST(QuotaFleetTest, UnusedQuotasDoNotAccumulate)
{
    QuotaFleet fleet({ 88, 4, 1 });
    fleet.runFor(3s);
    fleet.setLimit(30);
    auto limitStatedAt = fleet.now();
    fleet.runFor(5s);
    fleet.setDemand(0);
    fleet.runFor(2s);
    for (int round = 0; round < 2; ++round) {
        for (size_t router = 0; router < 88; ++router) {
            fleet.request(router);
            fleet.runFor(40ms);
        }
    }
    fleet.setDemand(50);
    fleet.runFor(5s);
    EXPECT_LE(fleet.maxArrivalsInWindow(limitStatedAt), allowedInWindow(30));
}

// Each part of the fleet has a hub that assigns the limit. The hub must assign only the share of its part.
TEST(QuotaFleetTest, APartitionedFleetKeepsTheLimit)
{
    for (size_t isolatedRouters : { 1, 3, 4 }) {
        QuotaFleet fleet({ 7, 20, 1 });
        fleet.runFor(3s);
        fleet.setLimit(30);
        fleet.runFor(4s);
        auto limitStatedAt = fleet.now();
        fleet.partition(routerRange(0, isolatedRouters), 6s);
        fleet.runFor(10s);
        EXPECT_LE(fleet.maxArrivalsInWindow(limitStatedAt, QuotaFleet::ArrivalFilter::All), allowedInWindow(30))
            << "including arrivals from isolated routers";
    }
}

// Injects random freezes, restarts and partitions, and changes the limit.
TEST(QuotaFleetTest, NoWindowExceedsALimitUnderRandomFaults)
{
    bool holds = rc::check("limits hold", [] {
        QuotaFleet::Options options;
        options.routers = *rc::gen::inRange<size_t>(1, 30);
        options.requestsPerSecond = *rc::gen::inRange(1, 20);
        options.seed = *rc::gen::inRange(0U, 1000U);
        QuotaFleet fleet(options);
        fleet.runFor(2s);
        auto limit = *rc::gen::element(0.0, 0.25, 1.0, 4.0, 30.0);
        fleet.setLimit(limit);
        auto limitStatedAt = fleet.now();
        auto randomRouter = [&] { return *rc::gen::inRange<size_t>(0, options.routers); };
        for (int step = 0; step < 25; ++step) {
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                fleet.freeze(randomRouter(), Common::Milliseconds(*rc::gen::inRange(50, 6000)));
                break;
            case 1:
                fleet.restart(randomRouter());
                break;
            case 2: {
                auto count = *rc::gen::inRange<size_t>(1, 1 + options.routers / 2);
                fleet.partition(routerRange(0, count), Common::Milliseconds(*rc::gen::inRange(100, 5000)));
                break;
            }
            case 3:
                if (*rc::gen::inRange(0, 6) == 0) {
                    RC_ASSERT(fleet.maxArrivalsInWindow(limitStatedAt + settlingTime) <= allowedInWindow(limit));
                    limit = *rc::gen::element(0.0, 0.25, 1.0, 4.0, 30.0);
                    fleet.setLimit(limit);
                    limitStatedAt = fleet.now();
                }
                break;
            default:
                break;
            }
            fleet.runFor(Common::Milliseconds(*rc::gen::inRange(50, 1500)));
        }
        RC_ASSERT(fleet.maxArrivalsInWindow(limitStatedAt + settlingTime) <= allowedInWindow(limit));
    });
    EXPECT_TRUE(holds);
}

// Guards against a cold upstream that falls over, because many routers send to it at once as soon as it is listed.
TEST(QuotaFleetTest, AColdUpstreamReceivesFewRequestsFromAllRoutersTogether)
{
    // The operators' rule: in any second at most 1.5 times the rate plus five requests.
    for (const auto& size : fleetSizes) {
        for (double rate : { 1.0, 10.0, 50.0 }) {
            QuotaFleet fleet({ size.routers, 4 * size.requestsPerSecond, 1 });
            fleet.runFor(3s);
            auto from = fleet.now();
            fleet.startColdPeriod(rate, 5s, 2s);
            fleet.runFor(5s);
            auto allowed = static_cast<size_t>(1.5 * rate) + 5;
            EXPECT_LE(fleet.maxArrivalsInWindow(from, QuotaFleet::ArrivalFilter::All, 1s), allowed)
                << size.routers << " routers, " << rate;
            auto demand = static_cast<double>(size.routers) * 4 * size.requestsPerSecond;
            EXPECT_GE(static_cast<double>(arrivalsAfter(fleet, from)), 0.3 * std::min(rate, demand) * 5)
                << "most of what it accepts is used once the routers have the list";
            fleet.runFor(2s);
            EXPECT_EQ(fleet.limitedRouters(), 0U) << "the period ends by itself";
        }
    }
}

TEST(QuotaFleetTest, AColdUpstreamIsProtectedUnderRandomFaults)
{
    bool holds = rc::check("cold upstreams are protected", [] {
        QuotaFleet::Options options;
        options.routers = *rc::gen::inRange<size_t>(1, 30);
        options.requestsPerSecond = *rc::gen::inRange(1, 40);
        options.seed = *rc::gen::inRange(0U, 1000U);
        QuotaFleet fleet(options);
        fleet.runFor(2s);
        auto rate = *rc::gen::element(1.0, 4.0, 10.0);
        auto from = fleet.now();
        fleet.startColdPeriod(rate, 8s, Common::Milliseconds(*rc::gen::inRange(0, 3000)));
        auto randomRouter = [&] { return *rc::gen::inRange<size_t>(0, options.routers); };
        while (fleet.now() < from + 7s) {
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                fleet.freeze(randomRouter(), Common::Milliseconds(*rc::gen::inRange(50, 3000)));
                break;
            case 1:
                fleet.restart(randomRouter());
                break;
            case 2:
                fleet.partition(routerRange(0, *rc::gen::inRange<size_t>(1, 1 + options.routers / 2)),
                    Common::Milliseconds(*rc::gen::inRange(100, 3000)));
                break;
            default:
                break;
            }
            fleet.runFor(Common::Milliseconds(*rc::gen::inRange(50, 1000)));
        }
        auto most = fleet.maxArrivalsInWindow(from, QuotaFleet::ArrivalFilter::All, 1s);
        RC_ASSERT(fleet.now() >= from + 8s || most <= static_cast<size_t>(1.5 * rate) + 5);
    });
    EXPECT_TRUE(holds);
}

TEST(QuotaFleetTest, WithoutALimitNoQuotaDataIsSent)
{
    QuotaFleet fleet({ 88, 2, 1 });
    fleet.runFor(3s);
    EXPECT_EQ(fleet.bytes(), 0U);
}

} // namespace Brassladder::RouteServing::Gateway
