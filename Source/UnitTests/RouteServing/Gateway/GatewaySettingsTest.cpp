// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/GatewaySettings.h"

#include <gtest/gtest.h>

// Guards against settings whose bounds no router can keep.
namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;

TEST(GatewaySettingsTest, ABoundThatIsTooShortIsRefusedWithItsSum)
{
    GatewaySettings settings;
    EXPECT_FALSE(isError(settings.checkBounds()));
    settings.leavingBound = 150ms;
    auto status = settings.checkBounds();
    ASSERT_TRUE(isError(status));
    EXPECT_EQ(errorOf(status).kind, Common::ErrorKind::InvalidConfiguration);
    EXPECT_NE(errorOf(status).message.find("leaving, "), std::string::npos);
    EXPECT_NE(errorOf(status).message.find("bound 150 ms"), std::string::npos);
}

TEST(GatewaySettingsTest, TheBudgetsCoverEachBoundOfTheSettings)
{
    GatewaySettings settings;
    settings.revocationBound = 5000ms;
    std::set<std::string> guarantees;
    for (const auto& budget : settings.timeBudgets(7))
        guarantees.insert(budget.guarantee());
    EXPECT_EQ(guarantees, (std::set<std::string> { "configuration", "leaving", "lost links", "withdrawn keys" }));
}

} // namespace Brassladder::RouteServing::Gateway
