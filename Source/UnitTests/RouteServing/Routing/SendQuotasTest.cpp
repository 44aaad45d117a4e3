// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/SendQuotas.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);
constexpr RateStatement none {};

UpstreamRecord upstream(uint64_t born = 0)
{
    UpstreamRecord record;
    record.id = "u1";
    record.born = born;
    return record;
}

const uint32_t s_key = statementKey(upstream());

} // namespace

TEST(SendQuotasTest, WithoutAQuotaNoRequestIsSentToALimitedUpstream)
{
    SendQuotas quotas;
    EXPECT_TRUE(quotas.take(s_key, 0, s_now));
    EXPECT_EQ(quotas.recordStatement(upstream(), { 2 }, s_now, s_now), StatementChange::Stated);
    EXPECT_FALSE(quotas.allowsRequest(s_key, 0, s_now));
    EXPECT_FALSE(quotas.take(s_key, 0, s_now));
    quotas.addGrant(s_key, 2, s_now + 700ms);
    EXPECT_TRUE(quotas.allowsRequest(s_key, 0, s_now));
    EXPECT_TRUE(quotas.take(s_key, 0, s_now));
    EXPECT_TRUE(quotas.take(s_key, 0, s_now + 699ms));
    EXPECT_FALSE(quotas.take(s_key, 0, s_now + 699ms)) << "both requests of the quota are consumed";
}

TEST(SendQuotasTest, AQuotaExpires)
{
    SendQuotas quotas;
    quotas.recordStatement(upstream(), { 2 }, s_now, s_now);
    quotas.addGrant(s_key, 2, s_now + 700ms);
    EXPECT_FALSE(quotas.take(s_key, 0, s_now + 700ms));
    EXPECT_EQ(quotas.summary(s_now).granted, 2U);
    EXPECT_EQ(quotas.summary(s_now).used, 0U);
}

// Responses on different connections may arrive out of order.
TEST(SendQuotasTest, OnlyAResponseToALaterRequestEndsALimit)
{
    SendQuotas quotas;
    quotas.recordStatement(upstream(), { 2 }, s_now, s_now);
    EXPECT_EQ(quotas.recordStatement(upstream(), none, s_now - 10ms, s_now + 5s), StatementChange::None);
    EXPECT_TRUE(quotas.isLimited(s_key, s_now));
    EXPECT_EQ(quotas.recordStatement(upstream(), none, s_now + 2s, s_now + 5s), StatementChange::Ended);
    EXPECT_FALSE(quotas.isLimited(s_key, s_now));
    EXPECT_TRUE(quotas.take(s_key, 0, s_now + 5s));
    EXPECT_EQ(quotas.recordStatement(upstream(), { 1 }, s_now + 6s, s_now + 6s), StatementChange::Stated);
}

TEST(SendQuotasTest, ANewLimitAppliesAtOnceAndALowerOneVoidsTheQuota)
{
    SendQuotas quotas;
    quotas.recordStatement(upstream(), { 4 }, s_now, s_now);
    quotas.addGrant(s_key, 3, s_now + 700ms);
    EXPECT_EQ(quotas.recordStatement(upstream(), { 4 }, s_now, s_now + 1ms), StatementChange::None);
    EXPECT_EQ(quotas.recordStatement(upstream(), { 8 }, s_now, s_now + 2ms), StatementChange::Changed);
    EXPECT_TRUE(quotas.allowsRequest(s_key, 0, s_now + 2ms));
    EXPECT_EQ(quotas.recordStatement(upstream(), { 1 }, s_now, s_now + 3ms), StatementChange::Changed);
    EXPECT_FALSE(quotas.allowsRequest(s_key, 0, s_now + 3ms));
}

TEST(SendQuotasTest, ALimitDoesNotApplyToAnotherIncarnation)
{
    SendQuotas quotas;
    quotas.recordStatement(upstream(1000), { 0 }, s_now, s_now);
    EXPECT_FALSE(quotas.take(statementKey(upstream(1000)), 0, s_now));
    EXPECT_TRUE(quotas.take(statementKey(upstream(2000)), 0, s_now));
}

// Messages may arrive in any order and more than once.
TEST(SendQuotasTest, MergingLimitsDoesNotDependOnOrder)
{
    StatedRate stated { 2, s_now, Common::TimePoint::min() };
    StatedRate ended { 2, s_now, s_now + 3s };
    SendQuotas first;
    first.merge(s_key, stated);
    EXPECT_TRUE(first.isLimited(s_key, s_now));
    first.merge(s_key, ended);
    first.merge(s_key, stated);
    EXPECT_FALSE(first.isLimited(s_key, s_now));
    SendQuotas second;
    second.merge(s_key, ended);
    second.merge(s_key, stated);
    EXPECT_FALSE(second.isLimited(s_key, s_now));
}

// Guards against a limit that ends with the first response, which states none.
TEST(SendQuotasTest, AColdPeriodEndsByItselfOrWhenItIsEnded)
{
    SendQuotas quotas;
    quotas.setColdPeriod(s_key, 4, s_now + 3s);
    EXPECT_FALSE(quotas.take(s_key, 0, s_now));
    EXPECT_EQ(quotas.recordStatement(upstream(), none, s_now, s_now), StatementChange::None);
    quotas.addGrant(s_key, 1, s_now + 700ms);
    EXPECT_EQ(quotas.recordStatement(upstream(), none, s_now + 5ms, s_now + 10ms), StatementChange::None);
    EXPECT_TRUE(quotas.take(s_key, 0, s_now + 20ms)) << "a response does not void the quota";
    EXPECT_FALSE(quotas.take(s_key, 0, s_now + 2999ms));
    EXPECT_TRUE(quotas.take(s_key, 0, s_now + 3s));
    quotas.evictExpired(s_now + 3s);
    EXPECT_FALSE(quotas.isActive()) << "nothing is exchanged after the period";
    quotas.setColdPeriod(s_key, 4, s_now + 9s);
    quotas.endColdPeriod(s_key);
    EXPECT_TRUE(quotas.take(s_key, 0, s_now + 4s));
}

TEST(SendQuotasTest, TheLowerOfAColdRateAndAStatedLimitApplies)
{
    for (double stated : { 2.0, 8.0 }) {
        SendQuotas quotas;
        quotas.setColdPeriod(s_key, 4, s_now + 3s);
        quotas.recordStatement(upstream(), { stated }, s_now, s_now);
        EXPECT_EQ(quotas.knownLimits(s_now).front().rate, std::min(4.0, stated));
        EXPECT_EQ(quotas.knownLimits(s_now + 3s).front().rate, stated);
    }
}

TEST(SendQuotasTest, TheRequestedQuotaFollowsRecentDemand)
{
    SendQuotas quotas;
    quotas.recordStatement(upstream(), { 8 }, s_now, s_now);
    EXPECT_EQ(quotas.knownLimits(s_now).front().wanted, 0U);
    for (int request = 0; request < 8; ++request)
        quotas.recordDemand(s_key, s_now);
    EXPECT_EQ(quotas.knownLimits(s_now).front().wanted, 2U);
    quotas.addGrant(s_key, 1, s_now + 700ms);
    EXPECT_EQ(quotas.knownLimits(s_now).front().wanted, 1U);
    EXPECT_EQ(quotas.knownLimits(s_now + 3s).front().wanted, 0U) << "there is no recent demand";
}

TEST(SendQuotasTest, TheExpectedWaitCoversTheUnsentBacklog)
{
    SendQuotas quotas;
    const uint32_t keys[] { s_key };
    EXPECT_FALSE(quotas.expectedWait(keys, s_now));
    quotas.recordStatement(upstream(), { 2 }, s_now, s_now);
    for (int request = 0; request < 6; ++request)
        quotas.recordDemand(s_key, s_now);
    EXPECT_EQ(quotas.expectedWait(keys, s_now), 1000ms) << "the rate is unknown until a request is sent";
    quotas.addGrant(s_key, 2, s_now + 700ms);
    quotas.take(s_key, 0, s_now);
    quotas.take(s_key, 0, s_now);
    EXPECT_EQ(quotas.expectedWait(keys, s_now), 2000ms) << "four unsent requests at two per second";
}

// While no upstream is available for more urgent requests, the quota is reserved for them.
TEST(SendQuotasTest, TheQuotaIsReservedForMoreUrgentRequests)
{
    SendQuotas quotas;
    quotas.recordStatement(upstream(), { 100 }, s_now, s_now);
    quotas.addGrant(s_key, 100, s_now + 1h);
    EXPECT_TRUE(quotas.allowsRequest(s_key, 2, s_now)) << "no more urgent request is waiting";
    quotas.recordUnplaced(s_key, 1, s_now);
    EXPECT_FALSE(quotas.allowsRequest(s_key, 2, s_now));
    EXPECT_TRUE(quotas.allowsRequest(s_key, 1, s_now));
    EXPECT_TRUE(quotas.allowsRequest(s_key, 0, s_now));
    EXPECT_TRUE(quotas.allowsRequest(s_key, 2, s_now + 2s)) << "the unplaced request is no longer recent";
}

// A long burst of urgent requests must not block less urgent ones completely.
TEST(SendQuotasTest, LessUrgentRequestsAreNotStarved)
{
    SendQuotas quotas;
    quotas.recordStatement(upstream(), { 100 }, s_now, s_now);
    quotas.addGrant(s_key, 100, s_now + 1h);
    size_t lessUrgent = 0;
    for (int request = 0; request < 90; ++request) {
        quotas.recordUnplaced(s_key, 0, s_now);
        quotas.recordUnplaced(s_key, 3, s_now);
        bool isAllowed = quotas.allowsRequest(s_key, 3, s_now);
        lessUrgent += isAllowed;
        EXPECT_TRUE(quotas.take(s_key, isAllowed ? 3 : 0, s_now));
    }
    EXPECT_EQ(lessUrgent, 15U);
}

} // namespace Brassladder::RouteServing::Routing
