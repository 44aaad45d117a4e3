// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/UpstreamStatements.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);

UpstreamRecord upstream(const std::string& id, uint64_t born = 0)
{
    UpstreamRecord record;
    record.id = id;
    record.born = born;
    return record;
}

UpstreamStatement cooldown(Common::Milliseconds time) { return { false, time }; }
constexpr UpstreamStatement leaving { true, std::nullopt };

} // namespace

TEST(UpstreamStatementsTest, ACooldownLastsUntilTheLatestRequestedEnd)
{
    UpstreamStatements statements;
    auto u1 = upstream("u1");
    EXPECT_TRUE(statements.record(u1, cooldown(3s), s_now));
    EXPECT_FALSE(statements.record(u1, cooldown(500ms), s_now + 1s)) << "the upstream is already in a cooldown";
    EXPECT_FALSE(statements.allowsRequest(u1, s_now + 2999ms)) << "a shorter cooldown does not replace a longer one";
    EXPECT_TRUE(statements.allowsRequest(u1, s_now + 3s));
    statements.record(u1, cooldown(3s), s_now + 2s);
    EXPECT_EQ(statements.cooldownEnd(u1, s_now + 4s), s_now + 5s);
    EXPECT_EQ(statements.cooldownEnd(u1, s_now + 5s), std::nullopt);
    EXPECT_TRUE(statements.record(u1, cooldown(1s), s_now + 6s)) << "a new cooldown after the last one ended";
    EXPECT_TRUE(statements.allowsRequest(upstream("u2"), s_now)) << "the cooldown applies to u1 only";
    EXPECT_EQ(statements.cooldownCount(s_now + 6s), 1U);
}

TEST(UpstreamStatementsTest, StatementsDoNotApplyToAnotherIncarnation)
{
    UpstreamStatements statements;
    statements.record(upstream("u1", 1000), cooldown(10s), s_now);
    statements.record(upstream("u1", 1000), leaving, s_now);
    EXPECT_TRUE(statements.allowsRequest(upstream("u1", 2000), s_now));
    statements.record(upstream("u1", 2000), cooldown(1s), s_now);
    EXPECT_FALSE(statements.record(upstream("u1", 1000), cooldown(60s), s_now))
        << "a delayed response of the earlier incarnation";
    EXPECT_FALSE(statements.isLeaving(upstream("u1", 2000)));
    EXPECT_TRUE(statements.allowsRequest(upstream("u1", 2000), s_now + 1s));
}

TEST(UpstreamStatementsTest, LeavingIsFinal)
{
    UpstreamStatements statements;
    auto u1 = upstream("u1");
    EXPECT_TRUE(statements.record(u1, leaving, s_now));
    EXPECT_FALSE(statements.record(u1, leaving, s_now));
    EXPECT_FALSE(statements.record(u1, {}, s_now)) << "an older, delayed response without a statement";
    EXPECT_TRUE(statements.isLeaving(u1));
    EXPECT_FALSE(statements.allowsRequest(u1, s_now + 24h));
}

// The number of entries is bounded, and no active cooldown is evicted.
TEST(UpstreamStatementsTest, OldEntriesAreEvictedButActiveCooldownsAreKept)
{
    UpstreamStatements statements;
    auto coolingDown = upstream("resting");
    statements.record(coolingDown, cooldown(600s), s_now);
    for (int index = 0; index < 20'000; ++index)
        statements.record(upstream("u" + std::to_string(index)), leaving, s_now + Common::Milliseconds(index));
    EXPECT_FALSE(statements.allowsRequest(coolingDown, s_now + 599s));
    EXPECT_FALSE(statements.allowsRequest(upstream("u19999"), s_now + 30s)) << "the newest entry is kept";
    EXPECT_TRUE(statements.allowsRequest(upstream("u0"), s_now + 30s)) << "the oldest of 20,000 entries is evicted";
}

} // namespace Brassladder::RouteServing::Routing
