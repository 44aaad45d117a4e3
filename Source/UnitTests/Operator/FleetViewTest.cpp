// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Operator/FleetReport.h"
#include "Operator/FleetView.h"
#include "RouteServing/Gateway/DutyMetrics.h"
#include "RouteServing/Gateway/GatewayMetrics.h"

#include "Common/Metrics.h"

#include <gtest/gtest.h>

namespace Brassladder::Operator {

using namespace std::chrono_literals;

namespace {

const Common::Endpoint s_address { "127.0.0.1", 9 };

RouterView router(uint64_t version, double configurationAge, double upstreamsAge)
{
    RouterView view;
    view.configurationVersion = version;
    view.configurationAgeSeconds = configurationAge;
    view.upstreamsAgeSeconds = upstreamsAge;
    return view;
}

} // namespace

TEST(FleetViewTest, ExposedMetricsAreParsed)
{
    RouteServing::Gateway::GatewayMetrics::fleetState({ true, false, 17, 1500ms, 300ms, 295 });
    auto view = parseRouterView(s_address, Common::Metrics::expose());
    ASSERT_TRUE(view);
    EXPECT_TRUE(view->isHub);
    EXPECT_FALSE(view->readsStore);
    EXPECT_EQ(view->configurationVersion, 17U);
    EXPECT_DOUBLE_EQ(view->configurationAgeSeconds, 1.5);
    EXPECT_DOUBLE_EQ(view->upstreamsAgeSeconds, 0.3);
    EXPECT_EQ(view->fleetSize, 295U);
    EXPECT_EQ(view->dutiesToken, 0U);
    RouteServing::Gateway::DutyMetrics::dutyState(12, 353'445'120);
    view = parseRouterView(s_address, Common::Metrics::expose());
    EXPECT_EQ(view->dutiesToken, 12U);
    EXPECT_EQ(view->usageReportedBefore, 353'445'120U);
    RouteServing::Gateway::GatewayMetrics::limitedWorkspaces(4);
    EXPECT_EQ(parseRouterView(s_address, Common::Metrics::expose())->limitedWorkspaces, 4U);
    RouteServing::Gateway::GatewayMetrics::limitedWorkspaces(0);
}

TEST(FleetViewTest, LineShowsRoleDutiesAndCooldowns)
{
    auto view = router(7, 0.5, 0.5);
    view.readsStore = true;
    EXPECT_NE(toLine(view, "").find("reads store"), std::string::npos);
    view.dutiesToken = 12;
    view.usageReportedBefore = 353;
    EXPECT_NE(toLine(view, "").find("duties"), std::string::npos);
    EXPECT_NE(toLine(view, "").find("token 12, usage reported before window 353"), std::string::npos);
    EXPECT_NE(toLine(view, "old").find("BEHIND: old"), std::string::npos);
    EXPECT_EQ(toJson(view, "")["duties_token"], 12);
    EXPECT_EQ(toLine(view, "").find("cooldown"), std::string::npos);
    view.upstreamsInCooldown = 3;
    EXPECT_NE(toLine(view, "").find("3 upstreams in cooldown"), std::string::npos);
    EXPECT_EQ(toJson(view, "")["resting_upstreams"], 3);
    view.limitedUpstreams = 2;
    EXPECT_EQ(toJson(view, "")["limited_upstreams"], 2);
    EXPECT_EQ(toLine(view, "").find("over their share"), std::string::npos);
    view.limitedWorkspaces = 1;
    EXPECT_NE(toLine(view, "").find("1 workspaces over their share"), std::string::npos);
    EXPECT_EQ(toJson(view, "")["limited_workspaces"], 1);
}

// Guards against a range that covers only one of several services, and against one where no engine is known.
TEST(FleetViewTest, TheRangeOfSlowdownsCoversAllServices)
{
    auto view = parseRouterView(s_address, R"(brassladder_fleet_is_hub 0
brassladder_engine_slowdown{engine="greatest",service="a"} 1.5
brassladder_engine_slowdown{engine="least",service="a"} 0.75
brassladder_engine_slowdown{engine="greatest",service="b"} 1.25
brassladder_engine_slowdown{engine="least",service="b"} 0.5
)");
    ASSERT_TRUE(view);
    EXPECT_EQ(view->leastSlowdown, 0.5);
    EXPECT_EQ(view->greatestSlowdown, 1.5);
    EXPECT_NE(toLine(*view, "").find("engines take 0.50 to 1.50 of the average time"), std::string::npos);
    EXPECT_EQ(toJson(*view, "")["greatest_slowdown"], 1.5);
    EXPECT_EQ(toLine(router(7, 0.5, 0.5), "").find("engines"), std::string::npos);
}

TEST(FleetViewTest, StoreCallsAreSummedOverLabels)
{
    auto view = parseRouterView(s_address, R"(brassladder_fleet_is_hub 0
brassladder_store_calls_total{kind="append",outcome="done",topic="a"} 2
brassladder_store_calls_total{kind="read_newest",outcome="done",topic="b"} 5
brassladder_store_calls_total_of_another 100
)");
    ASSERT_TRUE(view);
    EXPECT_EQ(view->storeCalls, 7U);
    EXPECT_FALSE(parseRouterView(s_address, "some_other_program 1\n"));
}

TEST(FleetViewTest, ARouterWithAnOldConfigurationOrOldStateIsBehind)
{
    std::vector<RouterView> fleet { router(7, 0.5, 0.5), router(6, 0.5, 0.5), router(7, 5, 0.5), router(7, 0.5, 5) };
    EXPECT_EQ(staleReason(fleet[0], fleet, 4s), "");
    EXPECT_EQ(staleReason(fleet[1], fleet, 4s), "configuration 7 is active on another router");
    EXPECT_EQ(staleReason(fleet[2], fleet, 4s), "configuration not confirmed");
    EXPECT_EQ(staleReason(fleet[3], fleet, 4s), "upstreams not confirmed");
}

} // namespace Brassladder::Operator
