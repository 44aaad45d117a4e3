// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/ReturnTime.h"

#include <gtest/gtest.h>
#include <random>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Callers ignore a delay of more than a third of the time that they have left, and a shorter delay than the constant
// adds load to a full fleet.
TEST(ReturnTimeTest, TheDelayIsBounded)
{
    std::mt19937_64 random(3);
    std::uniform_int_distribution<int> milliseconds(0, 20'000);
    for (int round = 0; round < 10'000; ++round) {
        RefusedCaller caller { random() % 5, Common::Milliseconds(milliseconds(random) - 1000),
            Common::Milliseconds(milliseconds(random)), Common::Milliseconds(milliseconds(random) / 20) };
        auto delay = returnTime(caller, std::uniform_real_distribution<double>(0, 1)(random));
        auto longest = std::max(0ms, caller.left / 3);
        EXPECT_LE(delay, longest);
        EXPECT_GE(delay, std::min(caller.shortestDelay, longest));
    }
}

// Otherwise all callers that were refused in a burst would return at the same moment.
TEST(ReturnTimeTest, UrgentCallersReturnFirstAndNotAllAtOnce)
{
    for (auto expectedStart : { 400ms, 1500ms, 60'000ms }) {
        Common::Milliseconds latest { 0 };
        for (size_t rank = 0; rank < 3; ++rank) {
            auto first = returnTime({ rank, 9000ms, expectedStart, 50ms }, 0);
            auto last = returnTime({ rank, 9000ms, expectedStart, 50ms }, 0.999);
            EXPECT_GE(first, latest);
            EXPECT_GT(last, first);
            latest = last;
        }
    }
}

TEST(ReturnTimeTest, TheDelayFollowsTheBacklog)
{
    EXPECT_EQ(returnTime({ 0, 400ms, 0ms, 60ms }, 0), 60ms);
    EXPECT_EQ(returnTime({ 0, 9000ms, 0ms, 50ms }, 0), 1125ms) << "a return can be told from a first arrival";
    EXPECT_EQ(returnTime({ 0, 9000ms, 1700ms, 50ms }, 0), 1700ms);
    EXPECT_EQ(returnTime({ 0, 9000ms, 60s, 50ms }, 0), 2000ms) << "room to spread callers remains";
}

} // namespace Brassladder::RouteServing::Routing
