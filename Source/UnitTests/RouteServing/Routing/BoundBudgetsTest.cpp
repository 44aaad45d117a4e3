// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/BoundBudgets.h"

#include <gtest/gtest.h>

// Guards against a guarantee whose waits add up to more than its bound.
namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::Milliseconds;

static constexpr Milliseconds bounds[] { 1500ms, 2000ms, 3000ms, 4000ms, 5000ms };
static constexpr size_t fleetSizes[] { 1, 7, 88, 300, 985 };

static void expectWithinBounds(const std::vector<Common::TimeBudget>& budgets)
{
    EXPECT_FALSE(budgets.empty());
    for (const auto& budget : Common::exceededBudgets(budgets))
        ADD_FAILURE() << budget.text();
}

TEST(LeavingBudgetTest, EachPathOfALeavingIsWithinItsBound)
{
    for (auto bound : bounds) {
        for (auto routers : fleetSizes)
            expectWithinBounds(leavingBudgets(RefreshIntervals::within(bound, bound), bound, routers));
    }
}

TEST(ConfigurationBudgetTest, EachPathOfAConfigurationIsWithinItsBound)
{
    for (auto bound : bounds) {
        for (auto routers : fleetSizes)
            expectWithinBounds(configurationBudgets(RefreshIntervals::within(bound, bound), bound, routers));
    }
}

TEST(KeyBudgetTest, AWithdrawnKeyIsNotForwardedAfterItsBound)
{
    for (auto bound : { 3000ms, 5000ms, 10'000ms })
        expectWithinBounds(keyBudgets(bound));
}

TEST(EvacuationBudgetTest, EachPathOfAnEvacuationIsWithinItsBound)
{
    for (auto bound : { 2000ms, 3000ms })
        expectWithinBounds(evacuationBudgets(RefreshIntervals::within(bound, bound), 5000ms, bound, bound));
}

} // namespace Brassladder::RouteServing::Routing
