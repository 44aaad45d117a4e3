// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Membership/Membership.h"

#include <gtest/gtest.h>

namespace Brassladder::Membership {

using namespace std::chrono_literals;

static Platform::Instance router(const std::string& id, bool leaving = false)
{
    return { id, "router", { "127.0.0.1", 1 }, { "127.0.0.1", 2 }, "a", leaving };
}

static std::vector<std::string> names(const Table& table) { return table.view()->routers; }

TEST(MembershipTest, ListedRouterCountsOnceItIsHeardOf)
{
    TimePoint now(1h);
    Table table({ "r1", 1500ms });
    table.setInstances({ router("r1"), router("r2") }, now);
    EXPECT_EQ(names(table), std::vector<std::string> { "r1" });
    table.heard("r2", 0ms, now);
    EXPECT_EQ(names(table), (std::vector<std::string> { "r1", "r2" }));
}

TEST(MembershipTest, SilentSuspectedAndLeavingRoutersDoNotCount)
{
    TimePoint now(1h);
    Table table({ "r1", 1500ms });
    table.setInstances({ router("r2"), router("r3"), router("r4"), router("r5", true) }, now);
    for (const auto* id : { "r2", "r3", "r4", "r5" })
        table.heard(id, 0ms, now);
    table.suspect("r2", now);
    table.setRouterLeaving("r3", true, now);
    EXPECT_EQ(names(table), (std::vector<std::string> { "r1", "r4" }));
    table.tick(now + 2s);
    EXPECT_EQ(names(table), std::vector<std::string> { "r1" });
    // Old word, told on by another, does not bring a suspected router back; new word does.
    table.heard("r2", 5s, now + 2s);
    EXPECT_EQ(names(table), std::vector<std::string> { "r1" });
    table.heard("r2", 0ms, now + 2s);
    EXPECT_EQ(names(table), (std::vector<std::string> { "r1", "r2" }));
}

TEST(MembershipTest, LeavingUpstreamIsKnownBeforeTheListTells)
{
    TimePoint now(1h);
    Table table({ "r1", 1500ms });
    Platform::Instance engine { "e1", "language", { "127.0.0.1", 3 }, {}, "a", false };
    table.setInstances({ engine }, now);
    table.setUpstreamLeaving("e1", now);
    EXPECT_TRUE(table.view()->upstream("language", "e1")->leaving);
    table.setInstances({ engine }, now + 1s);
    EXPECT_TRUE(table.view()->upstream("language", "e1")->leaving) << "the list lags";
    table.setInstances({ engine }, now + 31s);
    EXPECT_FALSE(table.view()->upstream("language", "e1")->leaving) << "it came back";
}

TEST(MembershipTest, LeavingLastRouterStaysItsOwnHome)
{
    Table table({ "r1", 1500ms });
    table.setSelfLeaving(TimePoint(1h));
    EXPECT_EQ(names(table), std::vector<std::string> { "r1" });
}

TEST(HeartbeatTargetsTest, EverybodyUpToNineAndLogarithmicBeyond)
{
    for (size_t count : { 1, 2, 7, 9, 30, 350 }) {
        std::vector<std::string> ids;
        for (size_t index = 0; index < count; ++index)
            ids.push_back("r" + std::to_string(1000 + index));
        auto targets = heartbeatTargets(ids, ids[count / 2]);
        EXPECT_LE(targets.size(), 18u);
        EXPECT_EQ(std::count(targets.begin(), targets.end(), ids[count / 2]), 0);
        if (count <= 9)
            EXPECT_EQ(targets.size(), count - 1);
        else
            EXPECT_GE(targets.size(), 8u);
    }
}

} // namespace Brassladder::Membership
