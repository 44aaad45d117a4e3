// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/HubRanking.h"
#include "RouteServing/Routing/LoadSums.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

std::vector<std::string> routers(size_t count)
{
    std::vector<std::string> ids;
    for (size_t index = 0; index < count; ++index)
        ids.push_back("r" + std::to_string(index));
    return ids;
}

const auto s_allUsable = [](const std::string&) { return true; };

} // namespace

TEST(HubRankingTest, AllRoutersAgreeOnTheHubsAtAnySize)
{
    for (size_t count : { 1, 2, 3, 4, 6, 7, 80, 350 }) {
        auto ids = routers(count);
        std::set<std::string> hubs;
        std::map<std::string, size_t> asked;
        size_t readers = 0;
        for (const auto& id : ids) {
            HubRanking ranking(ids, id, s_allUsable);
            if (ranking.isHub())
                hubs.insert(id);
            else
                ++asked[*ranking.source()];
            readers += ranking.readsStore();
        }
        EXPECT_EQ(readers, HubRanking::storeReaderCount(count)) << count;
        EXPECT_EQ(hubs.size(), HubRanking::hubCount(count)) << count;
        for (const auto& [hub, subscribers] : asked) {
            EXPECT_TRUE(hubs.contains(hub)) << count;
            EXPECT_LE(subscribers, 3 * hubs.size() + 3) << "no hub carries much more than the others, of " << count;
        }
        for (const auto& hub : hubs)
            EXPECT_EQ(HubRanking(ids, hub, s_allUsable).otherHubs().size(), hubs.size() - 1);
    }
}

TEST(HubRankingTest, ALostHubIsReplacedAndTheLastRouterIsAHub)
{
    auto ids = routers(6);
    for (const auto& id : ids) {
        HubRanking before(ids, id, s_allUsable);
        if (before.isHub())
            continue;
        auto lost = *before.source();
        HubRanking after(ids, id, [&](const std::string& other) { return other != lost; });
        EXPECT_TRUE(after.isHub() || *after.source() != lost);
        EXPECT_TRUE(HubRanking(ids, id, [](const std::string&) { return false; }).isHub());
    }
}

// Calls to the store are paid for: their number must not grow with the fleet.
TEST(HubRankingTest, OnlyAFewHubsReadTheStoreAndTheOthersRequestFromThem)
{
    auto ids = routers(350);
    std::set<std::string> readers;
    std::set<std::string> asked;
    for (const auto& id : ids) {
        HubRanking ranking(ids, id, s_allUsable);
        if (ranking.readsStore())
            readers.insert(id);
        else if (ranking.isHub())
            asked.insert(*ranking.source());
    }
    EXPECT_EQ(readers.size(), 3U);
    EXPECT_EQ(asked, readers);
}

TEST(HubRankingTest, ARouterIsAHubBeforeItKnowsAnyOther)
{
    HubRanking alone({}, "r1", s_allUsable);
    EXPECT_TRUE(alone.isHub());
    EXPECT_TRUE(alone.readsStore());
    EXPECT_TRUE(alone.otherHubs().empty());
}

TEST(LoadSumsTest, ReportsAreReplacedExcludedForTheirSenderAndExpire)
{
    LoadSums sums(1500ms);
    Common::TimePoint now(1h);
    sums.record("a", { { 1, { 2, 1, 100 } } }, 1, now);
    sums.record("b", { { 1, { 3, 0, 50 } }, { 2, { 1, 1, 0 } } }, 4, now);
    EXPECT_EQ(sums.sumExcluding({}, now)[1].requests, 5U);
    EXPECT_EQ(sums.sumExcluding({}, now)[1].prefillTokens, 150U);
    EXPECT_EQ(sums.sumExcluding("b", now)[1].requests, 2U);
    EXPECT_EQ(sums.routers(now), 5U);
    sums.record("a", {}, 1, now + 1s);
    EXPECT_EQ(sums.sumExcluding({}, now + 1s)[1].requests, 3U);
    EXPECT_TRUE(sums.sumExcluding({}, now + 1600ms).empty());
    sums.forget("a");
    EXPECT_EQ(sums.routers(now + 1600ms), 0U);
}

} // namespace Brassladder::RouteServing::Routing
