// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/QuotaAssigner.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

constexpr static Common::TimePoint s_now(1h);

TEST(QuotaBucketTest, ItRefillsAtTheLimitAndCapsTheBurst)
{
    QuotaBucket bucket;
    unsigned granted = 0;
    for (int step = 0; step <= 100; ++step) {
        bucket.refill(4, 1, s_now + step * 100ms);
        granted += bucket.available();
        bucket.spend(bucket.available());
    }
    EXPECT_NEAR(granted, 40, 1);
    for (int step = 101; step <= 200; ++step)
        bucket.refill(4, 1, s_now + step * 100ms);
    EXPECT_EQ(bucket.available(), 1U);
}

TEST(QuotaBucketTest, APauseAddsTokensForABoundedTimeOnly)
{
    QuotaBucket bucket;
    bucket.refill(100, 1, s_now);
    bucket.refill(100, 1, s_now + 10s);
    EXPECT_LE(bucket.available(), 21U);
}

TEST(QuotaBucketTest, ALimitOfZeroStillAllowsProbes)
{
    QuotaBucket bucket;
    unsigned granted = 0;
    for (int step = 0; step <= 200; ++step) {
        bucket.refill(0, 1, s_now + step * 100ms);
        granted += bucket.available();
        bucket.spend(bucket.available());
    }
    EXPECT_GE(granted, 3U);
    EXPECT_LE(granted, 4U);
}

TEST(QuotaPoolTest, PooledRequestsExpire)
{
    QuotaPool pool;
    pool.add(3, s_now);
    pool.take(1);
    EXPECT_EQ(pool.size(s_now), 2U);
    EXPECT_EQ(pool.size(s_now + 400ms), 0U);
    pool.take(5);
}

TEST(QuotaAssignerTest, TheLargestUnmetDemandComesFirstThenTheLongestWait)
{
    QuotaAssigner assigner;
    assigner.record("a", { 1, 1, 0 }, s_now);
    assigner.record("b", { 1, 3, 0 }, s_now);
    EXPECT_EQ(assigner.wanted(s_now), 4U);
    EXPECT_EQ(assigner.assign(2, s_now), 2U);
    EXPECT_EQ(assigner.granted("b", 1), 2U);
    EXPECT_EQ(assigner.assign(1, s_now), 1U);
    EXPECT_EQ(assigner.granted("a", 1), 1U) << "equal unmet demand, and b had the last grant";
    EXPECT_EQ(assigner.assign(5, s_now), 1U) << "there is no more unmet demand";
}

// A grant counts against the demand until the requester confirms it, even if its message was lost.
TEST(QuotaAssignerTest, AGrantInFlightIsNotGivenTwice)
{
    QuotaAssigner assigner;
    assigner.record("a", { 1, 2, 0 }, s_now);
    assigner.assign(2, s_now);
    assigner.record("a", { 1, 2, 0 }, s_now + 100ms);
    EXPECT_EQ(assigner.wanted(s_now + 100ms), 0U);
    assigner.record("a", { 1, 2, 2 }, s_now + 200ms);
    EXPECT_EQ(assigner.wanted(s_now + 200ms), 2U);
}

TEST(QuotaAssignerTest, ExpiredDemandAndEarlierIncarnationsGetNothing)
{
    QuotaAssigner assigner;
    assigner.record("a", { 1, 2, 0 }, s_now);
    EXPECT_EQ(assigner.assign(2, s_now + 600ms), 0U);
    assigner.record("a", { 1, 2, 0 }, s_now + 1s);
    assigner.assign(2, s_now + 1s);
    EXPECT_EQ(assigner.granted("a", 2), 0U) << "another process of the requester";
    assigner.record("a", { 2, 1, 0 }, s_now + 2s);
    assigner.assign(2, s_now + 2s);
    EXPECT_EQ(assigner.granted("a", 2), 1U);
}

// A hub without an entry for the router continues from the count that the router has received.
TEST(QuotaAssignerTest, CountsContinueFromTheReceivedCount)
{
    QuotaAssigner assigner;
    assigner.record("a", { 1, 1, 57 }, s_now);
    assigner.assign(1, s_now);
    EXPECT_EQ(assigner.granted("a", 1), 58U);
}

TEST(QuotaOwnershipTest, ANewOwnerWaitsUntilEarlierGrantsHaveExpired)
{
    QuotaOwnership ownership;
    QuotaOwnership::StableSince since { s_now - 1h, s_now - 1h };
    EXPECT_TRUE(ownership.update("self", "self", since, s_now)) << "the set of hubs has been stable for an hour";
    EXPECT_FALSE(ownership.update("other", "self", since, s_now + 1s));
    EXPECT_FALSE(ownership.update("self", "self", since, s_now + 2s));
    EXPECT_FALSE(ownership.update("self", "self", since, s_now + 2s + quotaLifetime - 1ms));
    EXPECT_TRUE(ownership.update("self", "self", since, s_now + 2s + quotaLifetime));
    since.running = s_now + 10s;
    EXPECT_FALSE(ownership.update("self", "self", since, s_now + 10s))
        << "this router was paused, so another owner may have granted requests";
    QuotaOwnership fresh;
    EXPECT_FALSE(fresh.update("self", "self", { s_now, s_now - 1h }, s_now + 100ms))
        << "the set of hubs has just changed";
}

} // namespace Brassladder::RouteServing::Routing
