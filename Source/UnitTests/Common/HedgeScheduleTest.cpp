// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/HedgeSchedule.h"

#include <gtest/gtest.h>

// Guards against hedges that double the calls to a slow or failed server.
namespace Brassladder::Common {

using namespace std::chrono_literals;

TEST(HedgeScheduleTest, AReadIsAttemptedThreeTimesAtMost)
{
    HedgeSchedule schedule(300ms);
    EXPECT_EQ(schedule.untilNextAttempt(1), 300ms);
    EXPECT_EQ(schedule.untilNextAttempt(2), 300ms);
    EXPECT_FALSE(schedule.untilNextAttempt(3));
    EXPECT_FALSE(HedgeSchedule(0ms).untilNextAttempt(1));
}

TEST(HedgeScheduleTest, HedgesPauseWhileTheServerIsSlow)
{
    HedgeSchedule schedule(300ms);
    schedule.recordResponse(0, 2, 700ms);
    EXPECT_TRUE(schedule.untilNextAttempt(1)) << "one slow response may be an accident";
    schedule.recordResponse(0, 2, 700ms);
    EXPECT_FALSE(schedule.untilNextAttempt(1));
    schedule.recordResponse(0, 1, 700ms);
    EXPECT_FALSE(schedule.untilNextAttempt(1)) << "it is still slow";
    schedule.recordResponse(0, 1, 20ms);
    EXPECT_TRUE(schedule.untilNextAttempt(1));
}

TEST(HedgeScheduleTest, HedgesThatHelpAreNotPaused)
{
    HedgeSchedule schedule(300ms);
    for (int read = 0; read < 5; ++read) {
        schedule.recordResponse(1, 2, 320ms);
        EXPECT_TRUE(schedule.untilNextAttempt(1));
    }
}

TEST(HedgeScheduleTest, HedgesPauseAfterAFailedReadUntilTheNextResponse)
{
    HedgeSchedule schedule(300ms);
    schedule.recordFailure();
    EXPECT_FALSE(schedule.untilNextAttempt(1));
    schedule.recordResponse(0, 1, 10ms);
    EXPECT_TRUE(schedule.untilNextAttempt(1));
}

} // namespace Brassladder::Common
