// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/LineBudget.h"

#include <gtest/gtest.h>

namespace Brassladder::Common {

using namespace std::chrono_literals;

TEST(LineBudgetTest, LinesBeyondTheBudgetOfASecondAreCounted)
{
    LineBudget budget(3);
    TimePoint start(1h);
    int written = 0;
    for (int index = 0; index < 10; ++index) {
        if (budget.take(start + index * 10ms))
            ++written;
        else
            budget.leaveOut();
    }
    EXPECT_EQ(written, 3);
    EXPECT_EQ(budget.takeLeftOut(), 7U);
    EXPECT_EQ(budget.takeLeftOut(), 0U);
    EXPECT_TRUE(budget.take(start + 1s));
}

} // namespace Brassladder::Common
