// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/ExchangeInterval.h"
#include "RouteServing/Routing/HubRanking.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

TEST(ExchangeIntervalTest, ItGrowsWithTheFleetWithinItsBounds)
{
    EXPECT_EQ(exchangeInterval(std::nullopt), 100ms);
    EXPECT_EQ(exchangeInterval(6), 100ms);
    EXPECT_EQ(exchangeInterval(250), 100ms);
    EXPECT_EQ(exchangeInterval(500), 200ms);
    EXPECT_EQ(exchangeInterval(985), 394ms);
    EXPECT_EQ(exchangeInterval(100'000), 400ms);
}

// Guards against hubs on the smallest instances that cannot respond in time: a hub of the whole fleet must not handle
// more messages than one of a few hundred routers.
TEST(ExchangeIntervalTest, TheMessagesOfAHubDoNotGrowBetween250And3000Routers)
{
    auto messagesPerSecond = [](size_t routers) {
        auto hubs = static_cast<double>(HubRanking::hubCount(routers));
        auto subscribers = static_cast<double>(routers) / hubs;
        return (subscribers + hubs) / Common::toSeconds(exchangeInterval(routers));
    };
    auto reference = messagesPerSecond(250);
    for (size_t routers : { 300U, 500U, 985U, 2000U, 3000U })
        EXPECT_LE(messagesPerSecond(routers), reference * 1.01) << routers;
}

} // namespace Brassladder::RouteServing::Routing
