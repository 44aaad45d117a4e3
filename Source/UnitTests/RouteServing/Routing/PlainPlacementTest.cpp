// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/PlainPlacement.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

static double noJitter() { return 0; }

TEST(PlainPlacementTest, TheLeastLoadedUpstreamIsChosen)
{
    EXPECT_FALSE(choosePlainUpstream({}, noJitter));
    std::vector<PlainCandidate> candidates { { 4, 6 }, { 1, 6 }, { 2, 6 } };
    EXPECT_EQ(choosePlainUpstream(candidates, noJitter), 1U);
    candidates[2].slots = 60;
    EXPECT_EQ(choosePlainUpstream(candidates, noJitter), 2U) << "the load is relative to the upstream's slots";
}

TEST(PlainPlacementTest, AnotherFailureDomainCostsAThirdOfAnUpstream)
{
    std::vector<PlainCandidate> candidates { { 0, 6, true }, { 0, 6, false } };
    EXPECT_EQ(choosePlainUpstream(candidates, noJitter), 0U);
    candidates[0].outstanding = 2;
    EXPECT_EQ(choosePlainUpstream(candidates, noJitter), 0U);
    candidates[0].outstanding = 3;
    EXPECT_EQ(choosePlainUpstream(candidates, noJitter), 1U);
}

TEST(PlainPlacementTest, AnOutlierIsUsedWhenTheOthersAreFiveTimesAsBusy)
{
    std::vector<PlainCandidate> candidates { { 0, 6, true, 0.3 }, { 3, 6, true, 0 } };
    EXPECT_EQ(choosePlainUpstream(candidates, noJitter), 1U);
    candidates[1].outstanding = 5;
    EXPECT_EQ(choosePlainUpstream(candidates, noJitter), 0U);
    candidates[1] = { 3, 6, true, 0.1 };
    EXPECT_EQ(choosePlainUpstream(candidates, noJitter), 0U) << "a small difference may be chance";
}

// Guards against an upstream that gets its full share although its work takes four times as long as usual.
TEST(PlainPlacementTest, AStatedSlowdownScalesTheExpectedTime)
{
    std::vector<PlainCandidate> candidates { { 0, 6, true, 0, 4 }, { 2, 6, true, 0 } };
    EXPECT_EQ(choosePlainUpstream(candidates, noJitter), 1U);
    candidates[1].outstanding = 4;
    EXPECT_EQ(choosePlainUpstream(candidates, noJitter), 0U);
    candidates[0].slowdown = 1;
    candidates[1].outstanding = 0;
    candidates[1].slowdown = 0.5;
    EXPECT_EQ(choosePlainUpstream(candidates, noJitter), 1U);
}

} // namespace Brassladder::RouteServing::Routing
