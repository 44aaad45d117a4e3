// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Routing/LapseGrace.h"

#include <gtest/gtest.h>

namespace Brassladder::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);

UpstreamRecord upstream(const std::string& id) { return { id, "shop", { "127.0.0.1", 1 }, "north", 6, false }; }

std::vector<std::string> idsOf(std::span<const UpstreamRecord> records)
{
    std::vector<std::string> ids;
    for (const auto& record : records)
        ids.push_back(record.id);
    return ids;
}

using Ids = std::vector<std::string>;

} // namespace

TEST(LapseGraceTest, WhatRanOutWhileTheStoreWasAwayIsKeptForTwoSeconds)
{
    std::vector<UpstreamRecord> known { upstream("u1"), upstream("u2"), upstream("u3") };
    LapseGrace lapse;
    lapse.regained(s_now - 5s, s_now);
    EXPECT_EQ(idsOf(lapse.fill({ upstream("u2") }, known, s_now)), (Ids { "u2", "u1", "u3" }));
    EXPECT_FALSE(lapse.takeEnd(s_now + 1999ms));
    EXPECT_TRUE(lapse.takeEnd(s_now + 2s));
    EXPECT_FALSE(lapse.takeEnd(s_now + 3s)) << "once";
    EXPECT_EQ(idsOf(lapse.fill({ upstream("u2") }, known, s_now + 2s)), Ids { "u2" });
}

TEST(LapseGraceTest, WithoutAnOutageWhatIsMissingIsGone)
{
    std::vector<UpstreamRecord> known { upstream("u1"), upstream("u2") };
    LapseGrace lapse;
    EXPECT_EQ(idsOf(lapse.fill({ upstream("u2") }, known, s_now)), Ids { "u2" });
    lapse.regained(s_now - 1500ms, s_now);
    EXPECT_EQ(idsOf(lapse.fill({ upstream("u2") }, known, s_now)), Ids { "u2" }) << "too short for an entry to run out";
}

} // namespace Brassladder::Routing
