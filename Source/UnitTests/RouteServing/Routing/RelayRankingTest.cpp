// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/BoundBudgets.h"
#include "RouteServing/Routing/RelayRanking.h"
#include "RouteServing/Routing/RelayTimes.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <set>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::Endpoint;
using Common::TimePoint;

namespace {

const TimePoint start { 1h };

std::vector<Endpoint> routers(size_t count)
{
    std::vector<Endpoint> endpoints;
    for (size_t index = 0; index < count; ++index)
        endpoints.push_back({ "10.0.0.1", static_cast<uint16_t>(index + 1) });
    return endpoints;
}

std::function<size_t(size_t)> drawFrom(std::mt19937_64& random)
{
    return [&random](size_t limit) { return static_cast<size_t>(random() % limit); };
}

} // namespace

TEST(RelayRankingTest, ARouterThatFailedIsTriedAfterTheOthers)
{
    RelayRanking ranking;
    std::mt19937_64 random(1);
    auto all = routers(3);
    ranking.recordFailure(all[0], start);
    for (int draw = 0; draw < 50; ++draw) {
        auto chosen = ranking.choose(all, 3, start, drawFrom(random));
        ASSERT_EQ(chosen.size(), 3U);
        EXPECT_EQ(chosen.back(), all[0]);
    }
    ranking.recordSuccess(all[0]);
    std::set<Endpoint> firsts;
    for (int draw = 0; draw < 50; ++draw)
        firsts.insert(ranking.choose(all, 1, start, drawFrom(random)).front());
    EXPECT_EQ(firsts.size(), 3U);
}

// Guards against loading one router with the work of all that lost their links.
TEST(RelayRankingTest, TunnelsAreSpreadEvenly)
{
    RelayRanking ranking;
    std::mt19937_64 random(2);
    auto all = routers(10);
    std::map<Endpoint, int> counts;
    for (int draw = 0; draw < 10'000; ++draw)
        ++counts[ranking.choose(all, maxRelays, start, drawFrom(random)).front()];
    for (const auto& router : all)
        EXPECT_NEAR(counts[router], 1000, 150);
}

// On virtual time: the routers of a fleet that lost their links hear nothing of each other, and each of the router's
// requests asks others in turn.
TEST(RelayRankingTest, ARouterWithoutLinksIsServedWithinItsBoundInAFleetOfAnySize)
{
    auto bound = lostLinkBudgets().front().bound();
    for (size_t fleet : { 7, 88, 300 }) {
        auto others = routers(fleet - 1);
        size_t cut = fleet * 4 / 7 - 1; // Of the others.
        for (uint64_t seed = 0; seed < 300; ++seed) {
            std::mt19937_64 random(seed);
            RelayRanking ranking;
            std::shuffle(others.begin(), others.end(), random);
            auto hasLinks = [&](const Endpoint& router) {
                return std::find(others.begin(), others.end(), router) >= others.begin() + static_cast<ptrdiff_t>(cut);
            };
            std::optional<Common::Duration> served;
            for (auto arrival = 0ms; !served && arrival < 2 * bound; arrival += 20ms) {
                auto at = start + arrival + relayDelay(400ms);
                for (const auto& router : ranking.choose(others, maxRelays, at, drawFrom(random))) {
                    if (hasLinks(router)) {
                        served = at - start;
                        break;
                    }
                    ranking.recordFailure(router, at);
                    at += relayInterval;
                }
            }
            ASSERT_TRUE(served);
            EXPECT_LE(*served, bound) << fleet << " routers, seed " << seed;
        }
    }
}

TEST(RelayRankingTest, TheWaitsUntilARelayedConnectionAddUpToLessThanTheBound)
{
    for (const auto& budget : lostLinkBudgets())
        EXPECT_TRUE(budget.isWithinBound()) << budget.text();
}

} // namespace Brassladder::RouteServing::Routing
