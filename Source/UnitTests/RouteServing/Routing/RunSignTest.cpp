// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/RunSign.h"

#include <gtest/gtest.h>
#include <set>

namespace Brassladder::RouteServing::Routing {

// Guards against a request that continues elsewhere on no more than the silence of its engine.
TEST(RunSignTest, ARunWhoseEndIsNotKnownDoesNotContinueElsewhere)
{
    std::set<std::string_view> names;
    for (auto sign : { RunSign::ProcessGone, RunSign::NotRunning, RunSign::Stopped, RunSign::Unreachable }) {
        EXPECT_TRUE(mayContinueElsewhere(sign)) << name(sign);
        names.insert(name(sign));
    }
    for (auto sign : { RunSign::Unstated, RunSign::Silent }) {
        EXPECT_FALSE(mayContinueElsewhere(sign)) << name(sign);
        names.insert(name(sign));
    }
    EXPECT_EQ(names.size(), 6U);
}

} // namespace Brassladder::RouteServing::Routing
