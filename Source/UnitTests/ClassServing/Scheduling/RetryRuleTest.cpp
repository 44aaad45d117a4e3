// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Scheduling/RetryRule.h"

#include <gtest/gtest.h>

namespace Brassladder::ClassServing::Scheduling {

using Common::ErrorKind;

TEST(RetryRuleTest, OnlyUnexecutedOrRepeatableRequestsAreRetried)
{
    for (const auto& row : Common::errorTable()) {
        auto error = Common::makeError(row.kind, "");
        bool isCallerGone = row.kind == ErrorKind::CallerGone;
        EXPECT_EQ(mayRetry({ error, false, false, false }), !isCallerGone) << row.name;
        EXPECT_EQ(mayRetry({ error, false, false, true }), !isCallerGone && row.ran == Common::Ran::No) << row.name;
        EXPECT_FALSE(mayRetry({ error, true, false, false })) << row.name << ", the caller is gone";
        EXPECT_FALSE(mayRetry({ error, false, true, false })) << row.name << ", a part of a response was sent";
    }
}

TEST(RetryRuleTest, LeavingUpstreamIsReplacedByAnother)
{
    EXPECT_TRUE(isUpstreamSpecific(Common::makeError(ErrorKind::UpstreamRefused, "")));
    EXPECT_TRUE(isUpstreamSpecific(Common::makeError(ErrorKind::UpstreamLostState, "")));
    EXPECT_FALSE(isUpstreamSpecific(Common::makeError(ErrorKind::WaitExpired, "")));
}

} // namespace Brassladder::ClassServing::Scheduling
