// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/FreshnessLease.h"
#include "RouteServing/Routing/RetryWindow.h"
#include "RouteServing/Routing/UpstreamHealth.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

TEST(FreshnessLeaseTest, ItRunsFromTheStartOfTheLastReadAndNeverMovesBack)
{
    FreshnessLease lease(5000ms);
    Common::TimePoint start(1h);
    EXPECT_FALSE(lease.isFresh(start)) << "nothing has been confirmed yet";
    lease.confirm(start);
    EXPECT_TRUE(lease.isFresh(start + 4999ms));
    EXPECT_FALSE(lease.isFresh(start + 5000ms));
    lease.confirm(start - 1s);
    EXPECT_TRUE(lease.isFresh(start + 4999ms)) << "a delayed response to an earlier read does not shorten the lease";
    EXPECT_EQ(lease.age(start + 300ms), 300ms);
}

TEST(FreshnessLeaseTest, WithoutABoundItNeverExpires)
{
    EXPECT_TRUE(FreshnessLease(0ms).isFresh(Common::TimePoint(9h)));
}

// In each window, the number of retries is at most ratio * requests + allowance, in any order of events.
TEST(RetryWindowTest, NoWindowHasMoreRetriesThanItsBoundsAllow)
{
    bool holds = rc::check("each sliding window is within the bound", [] {
        RetryWindow::Bounds bounds { 0.2, static_cast<double>(*rc::gen::inRange(0, 5)), 10'000ms };
        RetryWindow window(bounds);
        Common::TimePoint now(1h);
        std::vector<Common::TimePoint> requests;
        std::vector<Common::TimePoint> retries;
        for (int step = 0; step < 600; ++step) {
            now += Common::Milliseconds(*rc::gen::inRange(0, 120));
            if (*rc::gen::inRange(0, 3)) {
                window.countRequest(now);
                requests.push_back(now);
            }
            if (window.takeRetry(now))
                retries.push_back(now);
        }
        auto within = [&](const auto& times, Common::TimePoint end) {
            return std::count_if(
                times.begin(), times.end(), [&](auto time) { return time > end - bounds.window && time <= end; });
        };
        for (auto end : retries) {
            auto most = bounds.ratio * static_cast<double>(within(requests, end)) + bounds.allowance;
            RC_ASSERT(static_cast<double>(within(retries, end)) <= most + 1e-9);
        }
    });
    EXPECT_TRUE(holds);
}

TEST(RetryWindowTest, RetriesArePossibleAgainWhenOldOnesLeaveTheWindow)
{
    RetryWindow window({ 0, 1, 10'000ms });
    Common::TimePoint now(1h);
    EXPECT_TRUE(window.takeRetry(now));
    EXPECT_FALSE(window.takeRetry(now + 9s));
    EXPECT_TRUE(window.takeRetry(now + 11s));
}

TEST(UpstreamHealthTest, ConsecutiveFailuresEjectForATimeThatDoubles)
{
    UpstreamHealth health;
    Common::TimePoint now(1h);
    health.record(AttemptOutcome::Interrupted, now);
    EXPECT_FALSE(health.isEjected(now)) << "one failure may be an isolated fault";
    health.record(AttemptOutcome::Interrupted, now);
    EXPECT_TRUE(health.isEjected(now + 499ms));
    EXPECT_FALSE(health.isEjected(now + 500ms));
    now += 600ms;
    health.record(AttemptOutcome::Interrupted, now);
    EXPECT_TRUE(health.isEjected(now + 999ms));
    now += 1100ms;
    health.record(AttemptOutcome::Answered, now);
    health.record(AttemptOutcome::Interrupted, now);
    EXPECT_FALSE(health.isEjected(now)) << "a response resets the count of consecutive failures";
}

TEST(UpstreamHealthTest, CancelledAndRefusedAttemptsDoNotCount)
{
    UpstreamHealth health;
    Common::TimePoint now(1h);
    for (int index = 0; index < 20; ++index) {
        health.record(AttemptOutcome::CancelledBeforeSending, now);
        health.record(AttemptOutcome::CancelledAfterSending, now);
        health.record(AttemptOutcome::NotExecuted, now);
    }
    EXPECT_FALSE(health.isEjected(now));
    EXPECT_EQ(health.errorRate(now), 0);
}

TEST(UpstreamHealthTest, TheErrorRateDecaysWithoutAttempts)
{
    UpstreamHealth health;
    Common::TimePoint now(1h);
    for (int index = 0; index < 10; ++index)
        health.record(AttemptOutcome::ServerError, now);
    EXPECT_GT(health.errorRate(now), 0.7);
    EXPECT_LT(health.errorRate(now + 20s), 0.05);
}

} // namespace Brassladder::RouteServing::Routing
