// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/StreamHomes.h"
#include "RouteServing/Routing/StreamOriginTable.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);
const StreamOrigin s_first { "model", "v1" };
const StreamOrigin s_second { "model", "v2" };

std::vector<std::string> routers(size_t count)
{
    std::vector<std::string> ids;
    for (size_t index = 0; index < count; ++index)
        ids.push_back("router" + std::to_string(index));
    return ids;
}

} // namespace

TEST(StreamOriginTableTest, AnOriginIsKnownUntilItsCallerGivesUp)
{
    StreamOriginTable table;
    table.record({ 1, 2 }, s_first, s_now + 2s, s_now);
    EXPECT_EQ(table.find({ 1, 2 }, s_now + 1s), s_first);
    EXPECT_FALSE(table.find({ 1, 2 }, s_now + 2s));
    EXPECT_FALSE(table.find({ 2, 1 }, s_now));
    table.record({ 1, 2 }, s_first, s_now + 5s, s_now + 1s);
    table.record({ 1, 2 }, s_first, s_now + 3s, s_now + 1s);
    EXPECT_EQ(table.find({ 1, 2 }, s_now + 4s), s_first) << "the latest end counts";
    table.record({ 3, 3 }, s_first, s_now + 20s, s_now + 10s);
    EXPECT_EQ(table.summary().records, 1U);
    EXPECT_EQ(table.summary().dropped, 0U);
}

TEST(StreamOriginTableTest, TwoOriginsUnderOneNameAreNotGuessedBetween)
{
    StreamOriginTable table;
    table.record({ 1, 2 }, s_first, s_now + 9s, s_now);
    table.record({ 1, 2 }, s_second, s_now + 1s, s_now);
    EXPECT_FALSE(table.find({ 1, 2 }, s_now));
    table.record({ 1, 2 }, s_first, s_now + 9s, s_now);
    EXPECT_FALSE(table.find({ 1, 2 }, s_now));
    EXPECT_TRUE(table.records(s_now).empty());
    table.record({ 1, 3 }, { "model", "" }, s_now + 9s, s_now);
    EXPECT_FALSE(table.find({ 1, 3 }, s_now)) << "an unknown version is no origin";
}

TEST(StreamOriginTableTest, TheRecordThatEndsFirstIsDroppedFirstAndCounted)
{
    StreamOriginTable table(100);
    for (uint64_t index = 0; index < 1000; ++index)
        table.record({ index, index }, s_first, s_now + 1s + std::chrono::milliseconds(index * 7919 % 1000), s_now);
    EXPECT_EQ(table.summary().records, 100U);
    EXPECT_EQ(table.summary().dropped, 900U);
    for (const auto& record : table.records(s_now))
        EXPECT_GE(record.until, s_now + 1900ms);
}

// Guards against a router that asks others than the ones that were told.
TEST(StreamHomesTest, RoutersThatKnowDifferentPartsOfTheFleetAgreeOnMostHomes)
{
    auto all = routers(40);
    StreamHomes teller;
    StreamHomes asker;
    teller.setRouters(all);
    asker.setRouters(std::span(all).subspan(4));
    auto any = [](const auto&) { return true; };
    size_t shared = 0;
    for (uint64_t stream = 0; stream < 1000; ++stream) {
        auto told = teller.homesOf(stream * 0x9e3779b97f4a7c15U, StreamHomes::copies, any);
        auto asked = asker.homesOf(stream * 0x9e3779b97f4a7c15U, StreamHomes::copies + 1, any);
        EXPECT_EQ(told.size(), StreamHomes::copies);
        shared += std::any_of(told.begin(), told.end(),
            [&](const auto& home) { return std::find(asked.begin(), asked.end(), home) != asked.end(); });
    }
    EXPECT_GE(shared, 990U);
}

TEST(StreamHomesTest, TheCandidatesOfALargeFleetAreBounded)
{
    StreamHomes homes;
    homes.setRouters(routers(985));
    EXPECT_EQ(homes.candidates().size(), StreamHomes::maxCandidates);
    std::map<std::string, size_t> chosen;
    for (uint64_t stream = 0; stream < 6400; ++stream) {
        for (const auto& home :
            homes.homesOf(stream * 0x9e3779b97f4a7c15U, StreamHomes::copies, [](const auto&) { return true; }))
            ++chosen[home];
    }
    EXPECT_EQ(chosen.size(), StreamHomes::maxCandidates);
    for (const auto& [id, count] : chosen)
        EXPECT_LT(count, 600U) << "300 on average";
}

} // namespace Brassladder::RouteServing::Routing
