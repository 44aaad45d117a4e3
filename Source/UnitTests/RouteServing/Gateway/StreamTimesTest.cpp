// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/StreamTimes.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;

TEST(StreamTimesTest, TheFirstEventAndTheLongestPauseAreKept)
{
    Common::TimePoint arrived(1h);
    StreamTimes times(arrived);
    EXPECT_FALSE(times.hasEvents());
    for (auto after : { 40ms, 90ms, 390ms, 400ms })
        times.recordEvents(arrived + after);
    EXPECT_TRUE(times.hasEvents());
    EXPECT_EQ(times.firstEvent(), 40ms);
    EXPECT_EQ(times.longestPause(), 300ms);
}

} // namespace Brassladder::RouteServing::Gateway
