// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/DrainSchedule.h"
#include "RouteServing/Routing/EnginePlacement.h"
#include "RouteServing/Routing/FreshnessLease.h"
#include "RouteServing/Routing/RefreshIntervals.h"
#include "RouteServing/Routing/ReplicaPolicy.h"
#include "RouteServing/Routing/RetryWindow.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

static constexpr Common::TimePoint s_now(1h);

// The values are fixed percentages of the bounds.
TEST(RefreshIntervalsTest, IntervalsAreDerivedFromTheBounds)
{
    auto intervals = RefreshIntervals::within(2000ms, 1000ms);
    EXPECT_EQ(intervals.configurationLongPoll, 500ms);
    EXPECT_EQ(intervals.configurationStaleAfter, 1400ms);
    EXPECT_EQ(intervals.upstreamInterval, 450ms);
    EXPECT_EQ(intervals.upstreamsStaleAfter, 650ms);
    EXPECT_EQ(intervals.staleCheckInterval, 50ms);
    EXPECT_EQ(intervals.upstreamReads.hedgeAfter, 150ms);
    EXPECT_EQ(intervals.configurationReads.hedgeAfter, 300ms);
    EXPECT_EQ(intervals.maxBackoff, 700ms);
}

TEST(RefreshIntervalsTest, TheBackoffDoublesUpToItsBound)
{
    auto intervals = RefreshIntervals::within(2000ms, 1000ms);
    std::vector<Common::Milliseconds> backoffs;
    for (unsigned failures = 1; failures <= 5; ++failures)
        backoffs.push_back(intervals.backoffAfter(failures));
    EXPECT_EQ(backoffs, (std::vector<Common::Milliseconds> { 100ms, 200ms, 400ms, 700ms, 700ms }));
}

TEST(DrainScheduleTest, AShortGraceIsDivided)
{
    auto usual = DrainSchedule::within(s_now, 8000ms);
    EXPECT_EQ(usual.refuseFrom, s_now + 2500ms);
    EXPECT_EQ(usual.answerFrom, s_now + 7500ms);
    EXPECT_EQ(usual.end, s_now + 7750ms);
    auto brief = DrainSchedule::within(s_now, 400ms);
    EXPECT_EQ(brief.refuseFrom, s_now + 200ms);
    EXPECT_EQ(brief.answerFrom, s_now + 200ms);
    EXPECT_EQ(brief.end, s_now + 300ms);
}

TEST(FreshnessLeaseTest, ItExpiresBeforeItsBound)
{
    EXPECT_EQ(FreshnessLease::durationWithin(5000ms), 4750ms);
    EXPECT_EQ(FreshnessLease::durationWithin(0ms), 0ms) << "without a bound the lease never expires";
}

// Guards against starts that each refill the allowance of the fleet.
TEST(RetryWindowTest, AnEarlierProcessMayHaveUsedTheAllowance)
{
    EXPECT_EQ(retryAllowanceStart(s_now, 10'000ms), s_now + 10'000ms);
}

TEST(RetryWindowTest, TheAllowanceIsSharedWithSlack)
{
    EXPECT_DOUBLE_EQ(retryAllowanceShare(50, 1), 40);
    EXPECT_DOUBLE_EQ(retryAllowanceShare(50, 8), 5);
}

TEST(ReplicaPolicyTest, OnlyLongOnceOnlyStreamsGetAReplicaAndOnlyAfterAFailure)
{
    MidStreamFailures failures;
    EXPECT_FALSE(failures.hasRecent(s_now));
    failures.record(s_now);
    EXPECT_TRUE(failures.hasRecent(s_now + 59s));
    EXPECT_FALSE(failures.hasRecent(s_now + 60s));

    Route route;
    route.kind = RouteKind::Stream;
    bool longResponse = EnginePlacement::isDecodeHeavy({ 500, 900, {} }, {});
    bool longPrompt = EnginePlacement::isDecodeHeavy({ 9000, 100, {} }, {});
    EXPECT_TRUE(shouldReplicate(route, longResponse, true, true));
    EXPECT_FALSE(shouldReplicate(route, longResponse, true, false));
    EXPECT_FALSE(shouldReplicate(route, longResponse, false, true)) << "the engine cannot replicate";
    EXPECT_FALSE(shouldReplicate(route, longPrompt, true, true));
    route.isResumable = true;
    EXPECT_FALSE(shouldReplicate(route, longResponse, true, true)) << "the request can start over on another engine";
    route.kind = RouteKind::OnceOnly;
    EXPECT_FALSE(shouldReplicate(route, longResponse, true, true)) << "not a stream";
}

} // namespace Brassladder::RouteServing::Routing
