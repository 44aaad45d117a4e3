// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/FleetQueues.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint begin { 1h };
constexpr QueueKey urgent { 7, 0 };

LoadsByQueue tableOf(uint64_t waiting) { return { { urgent, { waiting, 0, 0, 0, 0 } } }; }

} // namespace

// A generation that is counted in two states, or in none, would make the backlog wrong.
TEST(FleetQueuesTest, AGenerationWaitsThenRunsThenIsGone)
{
    FleetQueues queues;
    auto number = queues.begin(urgent, { 1000, 80, 200ms }, false, begin);
    EXPECT_EQ(queues.own(begin).at(urgent), (QueueLoad { 1, 1000, 0, 80, 0 }));
    queues.recordFirstEvent(number, begin + 100ms);
    EXPECT_EQ(queues.own(begin + 100ms).at(urgent), (QueueLoad { 0, 0, 1, 80, 0 }));
    EXPECT_EQ(queues.own(begin + 200ms).at(urgent).remainingOutputTokens, 40u);
    EXPECT_EQ(queues.own(begin + 10s).at(urgent).remainingOutputTokens, 1u) << "it still occupies its slot";
    queues.end(number);
    EXPECT_TRUE(queues.own(begin + 10s).empty());
}

TEST(FleetQueuesTest, HeldRequestsAreCountedUntilTheyAreReleased)
{
    FleetQueues queues;
    queues.hold(urgent);
    queues.hold(urgent);
    queues.release(urgent);
    EXPECT_EQ(queues.own(begin).at(urgent).held, 1u);
    queues.release(urgent);
    queues.release(urgent);
    EXPECT_TRUE(queues.own(begin).empty()) << "a release too many changes nothing";
}

// A report that was counted twice, or that outlives its router, would refuse callers without need.
TEST(FleetQueuesTest, EachRouterIsCountedOnceAndStaleReportsAreDropped)
{
    FleetQueues queues;
    queues.begin(urgent, {}, false, begin);
    queues.recordSubscriber("a", tableOf(10), begin);
    queues.recordSubscriber("a", tableOf(20), begin);
    queues.recordHub("h", tableOf(100), 5, begin);
    queues.recordHub("none", tableOf(1000), 0, begin);
    EXPECT_EQ(queues.all(begin).at(urgent).waiting, 121u);
    EXPECT_EQ(queues.otherRouters(begin), 6u);
    EXPECT_EQ(queues.sumWithSubscribers(begin).at(urgent).waiting, 21u);
    EXPECT_EQ(queues.sumForSubscriber("a", begin).at(urgent).waiting, 101u);
    EXPECT_EQ(queues.all(begin + 2s).at(urgent).waiting, 1u);
    EXPECT_EQ(queues.otherRouters(begin + 2s), 0u);
}

} // namespace Brassladder::RouteServing::Routing
