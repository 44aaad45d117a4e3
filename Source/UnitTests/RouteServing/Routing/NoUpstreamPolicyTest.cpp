// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/NoUpstreamPolicy.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::ErrorKind;

namespace {

constexpr Common::TimePoint s_now(1h);

} // namespace

TEST(NoUpstreamPolicyTest, TheRefusalGivesItsCauseAndTheEarliestRetryTime)
{
    auto refusal = noUpstreamRefusal({ s_now + 2500ms, std::nullopt }, false, s_now);
    EXPECT_EQ(refusal.kind, ErrorKind::UpstreamsResting);
    EXPECT_GE(refusal.retryAfter, 2500ms);
    EXPECT_LE(refusal.retryAfter, 2502ms);
    EXPECT_EQ(noUpstreamRefusal({}, false, s_now).kind, ErrorKind::NoUpstream);
    EXPECT_EQ(noUpstreamRefusal({ s_now + 1s, 1s }, true, s_now).kind, ErrorKind::UpstreamBroken)
        << "an earlier attempt may have run";
    auto limited = noUpstreamRefusal({ s_now + 2500ms, 400ms }, false, s_now);
    EXPECT_EQ(limited.kind, ErrorKind::UpstreamsLimited);
    EXPECT_EQ(limited.retryAfter, 400ms) << "the quota is available before the cooldown ends";
    EXPECT_EQ(noUpstreamRefusal({ s_now + 100ms, 400ms }, false, s_now).kind, ErrorKind::UpstreamsResting);
}

TEST(NoUpstreamPolicyTest, AQuotaWaitIsBoundedByHalfTheObjectiveAndByACap)
{
    Route route;
    route.objective = 150ms;
    EXPECT_EQ(maxQuotaWait(route), 75ms);
    route.objective = 1h;
    EXPECT_EQ(maxQuotaWait(route), 300ms);
}

} // namespace Brassladder::RouteServing::Routing
