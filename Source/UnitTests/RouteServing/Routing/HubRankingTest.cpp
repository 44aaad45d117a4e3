// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/HubRanking.h"
#include "RouteServing/Routing/LoadSums.h"

#include <algorithm>
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

// Returns the ranking that `self` computes while all other routers except `lost` respond.
HubRanking rankingOf(const std::string& self, const std::vector<std::string>& ids, const std::string& lost = {})
{
    std::vector<HubRanking::Router> others;
    for (const auto& id : ids) {
        if (id != self && id != lost)
            others.push_back({ id });
    }
    return { others, { self } };
}

// Returns the hubs among routers of which every `interval`th has a large instance.
std::set<std::string> hubsWithLargeInstances(size_t count, size_t interval, const std::set<std::string>& lost = {})
{
    std::vector<HubRanking::Router> all;
    auto ids = routers(count);
    for (size_t index = 0; index < count; ++index) {
        if (!lost.contains(ids[index]))
            all.push_back({ ids[index], true, index % interval ? 120U : 1000U });
    }
    std::set<std::string> hubs;
    for (const auto& self : all) {
        std::vector<HubRanking::Router> others;
        std::copy_if(all.begin(), all.end(), std::back_inserter(others),
            [&](const auto& router) { return router.id != self.id; });
        if (HubRanking(others, self).isHub())
            hubs.emplace(self.id);
    }
    return hubs;
}

bool isLarge(const std::string& id, size_t interval) { return std::stoul(id.substr(1)) % interval == 0; }

} // namespace

// Guards against hubs on the smallest instances while larger ones are idle.
TEST(HubRankingTest, TheLargestInstancesAreHubs)
{
    for (const auto& id : hubsWithLargeInstances(985, 20))
        EXPECT_TRUE(isLarge(id, 20)) << id;
    EXPECT_EQ(hubsWithLargeInstances(985, 20).size(), HubRanking::hubCount(985));
}

// The loss of any number of instances must leave a fleet with hubs, also of all large ones.
TEST(HubRankingTest, SmallerInstancesReplaceLargeOnesThatAreLost)
{
    std::set<std::string> large;
    for (const auto& id : routers(400)) {
        if (isLarge(id, 20))
            large.insert(id);
    }
    EXPECT_EQ(hubsWithLargeInstances(400, 20).size(), HubRanking::hubCount(400));
    auto hubs = hubsWithLargeInstances(400, 20, large);
    EXPECT_EQ(hubs.size(), HubRanking::hubCount(400 - large.size()));
    auto withHalf = hubsWithLargeInstances(400, 40);
    EXPECT_EQ(std::count_if(withHalf.begin(), withHalf.end(), [](const auto& id) { return isLarge(id, 40); }), 10)
        << "all ten large instances, and small ones for the rest";
}

TEST(HubRankingTest, AllRoutersAgreeOnTheHubsAtAnySize)
{
    for (size_t count : { 1, 2, 3, 4, 6, 7, 80, 350 }) {
        auto ids = routers(count);
        std::set<std::string> hubs;
        std::map<std::string, size_t> subscribersByHub;
        size_t readers = 0;
        for (const auto& id : ids) {
            auto ranking = rankingOf(id, ids);
            if (ranking.isHub())
                hubs.insert(id);
            else
                ++subscribersByHub[*ranking.source()];
            readers += ranking.readsStore();
        }
        EXPECT_EQ(readers, HubRanking::storeReaderCount(count)) << count;
        EXPECT_EQ(hubs.size(), HubRanking::hubCount(count)) << count;
        for (const auto& [hub, subscribers] : subscribersByHub) {
            EXPECT_TRUE(hubs.contains(hub)) << count;
            EXPECT_LE(subscribers, 3 * hubs.size() + 3)
                << "no hub has many more subscribers than the others, fleet of " << count;
        }
        for (const auto& hub : hubs)
            EXPECT_EQ(rankingOf(hub, ids).otherHubs().size(), hubs.size() - 1);
    }
}

TEST(HubRankingTest, ALostHubIsReplacedAndTheLastRouterIsAHub)
{
    auto ids = routers(6);
    for (const auto& id : ids) {
        auto before = rankingOf(id, ids);
        if (before.isHub())
            continue;
        auto lost = *before.source();
        auto after = rankingOf(id, ids, lost);
        EXPECT_TRUE(after.isHub() || *after.source() != lost);
        EXPECT_TRUE(HubRanking({}, { id }).isHub());
    }
}

// Calls to the store are billed, so their number must not grow with the fleet.
TEST(HubRankingTest, OnlyAFewHubsReadTheStoreAndTheOthersRequestFromThem)
{
    auto ids = routers(350);
    std::set<std::string> readers;
    std::set<std::string> sources;
    for (const auto& id : ids) {
        auto ranking = rankingOf(id, ids);
        if (ranking.readsStore())
            readers.insert(id);
        else if (ranking.isHub())
            sources.insert(*ranking.source());
    }
    EXPECT_EQ(readers.size(), 3U);
    EXPECT_EQ(sources, readers);
}

// The store may reject some routers and serve the others.
TEST(HubRankingTest, AHubThatCannotReadTheStoreRequestsFromOneThatCan)
{
    auto ids = routers(100);
    std::string reader;
    for (const auto& id : ids) {
        if (rankingOf(id, ids).readsStore())
            reader = id;
    }
    std::vector<HubRanking::Router> others;
    for (const auto& id : ids) {
        if (id != reader)
            others.push_back({ id });
    }
    HubRanking unable(others, { reader, false });
    EXPECT_TRUE(unable.isHub()) << "the hub still serves its subscribers";
    EXPECT_FALSE(unable.readsStore());
    EXPECT_NE(*unable.source(), reader);
    others.push_back({ reader, false });
    for (const auto& id : ids) {
        if (id == reader)
            continue;
        std::vector<HubRanking::Router> othersOfThis;
        std::copy_if(others.begin(), others.end(), std::back_inserter(othersOfThis),
            [&](const auto& other) { return other.id != id; });
        HubRanking ranking(othersOfThis, { id });
        EXPECT_TRUE(!ranking.isHub() || ranking.source() != reader) << id;
    }
}

TEST(HubRankingTest, WhileNoHubCanReadTheStoreTheFirstOnesStayStoreReaders)
{
    std::vector<std::string> ids = routers(100);
    size_t readers = 0;
    for (const auto& id : ids) {
        std::vector<HubRanking::Router> others;
        for (const auto& other : ids) {
            if (other != id)
                others.push_back({ other, false });
        }
        readers += HubRanking(others, { id, false }).readsStore();
    }
    EXPECT_EQ(readers, HubRanking::storeReaderCount(100));
}

TEST(HubRankingTest, ARouterWithoutPeersIsAHub)
{
    HubRanking alone({}, { "r1" });
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
