// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/TimeBudget.h"

#include <gtest/gtest.h>

namespace Brassladder::Common {

using namespace std::chrono_literals;

// Guards against a bound that is kept only because its waits do not occur together.
TEST(TimeBudgetTest, TheSumOfAllWaitsIsComparedWithTheBound)
{
    TimeBudget budget("leaving", "store reader", 100ms);
    budget.add("interval", 60ms).add("lost response", 20ms, 2);
    EXPECT_EQ(budget.total(), 100ms);
    EXPECT_TRUE(budget.isWithinBound());
    budget.add("send", 1ms);
    EXPECT_FALSE(budget.isWithinBound());
    EXPECT_EQ(budget.text(),
        "leaving, store reader: interval 60 ms + lost response 20 ms + lost response 20 ms + send 1 ms = 101 ms, "
        "bound 100 ms");
    TimeBudget other("leaving", "subscriber", 100ms);
    std::vector budgets { other, budget };
    ASSERT_EQ(exceededBudgets(budgets).size(), 1U);
    EXPECT_EQ(exceededBudgets(budgets).front().path(), "store reader");
}

} // namespace Brassladder::Common
