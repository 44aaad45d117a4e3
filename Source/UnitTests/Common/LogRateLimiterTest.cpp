// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/LogRateLimiter.h"

#include <gtest/gtest.h>

namespace Brassladder::Common {

using namespace std::chrono_literals;

TEST(LogRateLimiterTest, LinesBeyondTheLimitAreCountedAsSuppressed)
{
    LogRateLimiter limiter(3);
    TimePoint start(1h);
    int written = 0;
    for (int index = 0; index < 10; ++index) {
        if (limiter.tryAcquire(start + index * 10ms))
            ++written;
        else
            limiter.countSuppressed();
    }
    EXPECT_EQ(written, 3);
    EXPECT_EQ(limiter.takeSuppressedCount(), 7U);
    EXPECT_EQ(limiter.takeSuppressedCount(), 0U);
    EXPECT_TRUE(limiter.tryAcquire(start + 1s));
}

} // namespace Brassladder::Common
