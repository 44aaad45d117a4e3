// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/PrefixRanking.h"

#include <gtest/gtest.h>
#include <map>
#include <numeric>
#include <set>

namespace Brassladder::RouteServing::Routing {

namespace {

std::vector<std::string> numberedIds(size_t count)
{
    std::vector<std::string> ids;
    ids.reserve(count);
    for (size_t number = 0; number < count; ++number)
        ids.push_back("engine-" + std::to_string(number));
    return ids;
}

std::vector<EngineState> enginesOf(std::span<const std::string> ids)
{
    std::vector<EngineState> engines;
    engines.reserve(ids.size());
    for (const auto& id : ids)
        engines.push_back({ id, 0, 0, 0, {}, false });
    return engines;
}

std::vector<size_t> indicesOf(std::span<const EngineState> engines)
{
    std::vector<size_t> indices(engines.size());
    std::iota(indices.begin(), indices.end(), 0);
    return indices;
}

std::vector<std::string> rankedIds(
    uint64_t prefix, std::span<const EngineState> engines, std::span<const size_t> allowed)
{
    std::vector<std::string> ids;
    PrefixRanking ranking(prefix, engines, allowed);
    for (size_t index : ranking.engines())
        ids.emplace_back(engines[index].id);
    return ids;
}

} // namespace

TEST(PrefixRankingTest, APrefixHasThreeEnginesAtMost)
{
    for (size_t count : { 0U, 1U, 2U, 3U, 4U, 50U }) {
        auto ids = numberedIds(count);
        auto engines = enginesOf(ids);
        PrefixRanking ranking(7, engines, indicesOf(engines));
        ASSERT_EQ(ranking.engines().size(), std::min<size_t>(count, 3)) << count;
        EXPECT_EQ(ranking.first().has_value(), count > 0);
        std::set<size_t> different(ranking.engines().begin(), ranking.engines().end());
        EXPECT_EQ(different.size(), ranking.engines().size()) << count;
        for (size_t index = 0; index < count; ++index)
            EXPECT_EQ(ranking.contains(index), different.contains(index)) << count;
    }
    EXPECT_FALSE(PrefixRanking().first()) << "a prompt without a shared prefix";
}

// Guards against prefixes that move to other engines, and are prefilled again, while an engine is ejected or backed
// off.
TEST(PrefixRankingTest, AnEngineThatLeavesChangesNothingInTheOrderOfTheOthers)
{
    auto ids = numberedIds(40);
    auto engines = enginesOf(ids);
    for (uint64_t prefix = 0; prefix < 500; ++prefix) {
        auto before = rankedIds(prefix, engines, indicesOf(engines));
        auto left = ids;
        std::erase(left, before[prefix % 3]);
        auto others = enginesOf(left);
        auto during = rankedIds(prefix, others, indicesOf(others));
        before.erase(before.begin() + static_cast<std::ptrdiff_t>(prefix % 3));
        during.pop_back();
        EXPECT_EQ(during, before) << prefix;
    }
}

// Guards against groups of engines that rank the same engines differently, so that a change in the size of the groups
// would move all prefixes.
TEST(PrefixRankingTest, AGroupOfEnginesIsRankedInTheOrderOfAllEngines)
{
    auto ids = numberedIds(40);
    auto engines = enginesOf(ids);
    auto all = indicesOf(engines);
    auto group = std::span(all).subspan(10);
    for (uint64_t prefix = 0; prefix < 500; ++prefix) {
        PrefixRanking ofAll(prefix, engines, all);
        PrefixRanking ofGroup(prefix, engines, group);
        std::vector<size_t> expected;
        std::copy_if(ofAll.engines().begin(), ofAll.engines().end(), std::back_inserter(expected),
            [](size_t index) { return index >= 10; });
        std::vector<size_t> ranked(ofGroup.engines().begin(), ofGroup.engines().end());
        ranked.resize(expected.size());
        EXPECT_EQ(ranked, expected) << prefix;
    }
}

// Guards against a few engines that keep most of the prefixes.
TEST(PrefixRankingTest, PrefixesAreDistributedEvenlyAtEachRank)
{
    static constexpr size_t prefixes = 8000;
    auto ids = numberedIds(40);
    auto engines = enginesOf(ids);
    auto all = indicesOf(engines);
    std::array<std::map<size_t, size_t>, PrefixRanking::maxCopies> counts;
    for (uint64_t prefix = 0; prefix < prefixes; ++prefix) {
        PrefixRanking ranking(prefix, engines, all);
        for (size_t rank = 0; rank < counts.size(); ++rank)
            ++counts[rank][ranking.engines()[rank]];
    }
    for (const auto& byEngine : counts) {
        EXPECT_EQ(byEngine.size(), engines.size());
        for (const auto& [engine, count] : byEngine) {
            EXPECT_GT(count, prefixes / engines.size() * 3 / 4) << engine;
            EXPECT_LT(count, prefixes / engines.size() * 5 / 4) << engine;
        }
    }
}

} // namespace Brassladder::RouteServing::Routing
