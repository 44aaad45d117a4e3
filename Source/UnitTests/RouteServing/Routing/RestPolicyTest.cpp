// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/RestPolicy.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::ErrorKind;

namespace {

constexpr Common::TimePoint s_now(1h);

} // namespace

TEST(RestPolicyTest, TheRefusalIsTrueAndSaysWhenToComeBack)
{
    auto resting = refusalWithoutUpstream({ s_now + 2500ms, std::nullopt }, false, s_now);
    EXPECT_EQ(resting.kind, ErrorKind::UpstreamsResting);
    EXPECT_GE(resting.retryAfter, 2500ms);
    EXPECT_LE(resting.retryAfter, 2502ms);
    EXPECT_EQ(refusalWithoutUpstream({}, false, s_now).kind, ErrorKind::NoUpstream);
    EXPECT_EQ(refusalWithoutUpstream({ s_now + 1s, 1s }, true, s_now).kind, ErrorKind::UpstreamBroken)
        << "it may have run at the one before";
    auto limited = refusalWithoutUpstream({ s_now + 2500ms, 400ms }, false, s_now);
    EXPECT_EQ(limited.kind, ErrorKind::UpstreamsLimited);
    EXPECT_EQ(limited.retryAfter, 400ms) << "the first chance of all";
    EXPECT_EQ(refusalWithoutUpstream({ s_now + 100ms, 400ms }, false, s_now).kind, ErrorKind::UpstreamsResting);
}

TEST(RestPolicyTest, ARequestWaitsAMomentForAQuotaAndMostOfItsObjectiveIsLeft)
{
    Route route;
    route.objective = 150ms;
    EXPECT_EQ(longestQuotaHold(route), 75ms);
    route.objective = 1h;
    EXPECT_EQ(longestQuotaHold(route), 300ms);
}

} // namespace Brassladder::RouteServing::Routing
