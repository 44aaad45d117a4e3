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

TEST(RestPolicyTest, ARequestIsHeldWhileHalfOfItsObjectiveIsLeftAtTheReturn)
{
    RestingRequest request { s_now - 50ms, 400ms, s_now + 10s, s_now + 150ms };
    EXPECT_EQ(holdUntil(request, s_now), s_now + 150ms);
    request.firstReturn = s_now + 151ms;
    EXPECT_EQ(holdUntil(request, s_now), std::nullopt);
    request.firstReturn = std::nullopt;
    EXPECT_EQ(holdUntil(request, s_now), std::nullopt) << "none will be back";
    request.firstReturn = s_now + 100ms;
    request.deadline = s_now + 90ms;
    EXPECT_EQ(holdUntil(request, s_now), std::nullopt) << "its caller does not wait so long";
}

TEST(RestPolicyTest, TheRefusalIsTrueAndSaysWhenToComeBack)
{
    auto resting = refusalWithoutUpstream(s_now + 2500ms, false, s_now);
    EXPECT_EQ(resting.kind, ErrorKind::UpstreamsResting);
    EXPECT_GE(resting.retryAfter, 2500ms);
    EXPECT_LE(resting.retryAfter, 2502ms);
    EXPECT_EQ(refusalWithoutUpstream(std::nullopt, false, s_now).kind, ErrorKind::NoUpstream);
    EXPECT_EQ(refusalWithoutUpstream(s_now + 1s, true, s_now).kind, ErrorKind::UpstreamBroken)
        << "it may have run at the one before";
}

} // namespace Brassladder::RouteServing::Routing
