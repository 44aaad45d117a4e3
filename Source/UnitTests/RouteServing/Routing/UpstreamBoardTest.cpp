// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/Digest.h"
#include "RouteServing/Routing/UpstreamBoard.h"

#include <gtest/gtest.h>
#include <set>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);

UpstreamRecord upstream(const std::string& id, const std::string& domain = "north")
{
    return { id, "shop", { "127.0.0.1", 1 }, domain, 6, false };
}

std::vector<UpstreamRecord> three() { return { upstream("u1"), upstream("u2"), upstream("u3") }; }

UpstreamBoard::Need plainNeed(std::span<const std::string> tried = {}) { return { "shop", nullptr, 1, tried }; }

} // namespace

TEST(UpstreamBoardTest, ALeavingUpstreamGetsNothingNewAndDoesNotComeBack)
{
    UpstreamBoard board("north");
    board.setUpstreams({ upstream("u1") });
    ASSERT_TRUE(board.choose(plainNeed(), s_now));
    board.markLeaving("u1");
    EXPECT_FALSE(board.choose(plainNeed(), s_now));
    board.setUpstreams({ upstream("u1") });
    EXPECT_FALSE(board.choose(plainNeed(), s_now)) << "a late list says that it is serving";
    EXPECT_FALSE(board.isServing("u1"));
}

TEST(UpstreamBoardTest, EnginesAreThoughtToBreakOffForAMinuteAfterOneDid)
{
    UpstreamBoard board("north");
    board.setUpstreams(three());
    auto endOne = [&](bool wasRead, TryOutcome outcome) {
        auto choice = board.choose(plainNeed(), s_now);
        board.began(*choice);
        board.ended(*choice, wasRead, outcome, s_now);
    };
    endOne(true, TryOutcome::Answered);
    endOne(false, TryOutcome::Broken);
    EXPECT_FALSE(board.enginesBreakOff(s_now)) << "none broke off in the middle of an answer";
    endOne(true, TryOutcome::Broken);
    EXPECT_TRUE(board.enginesBreakOff(s_now + 59s));
    EXPECT_FALSE(board.enginesBreakOff(s_now + 60s));
}

TEST(UpstreamBoardTest, WhatWasTriedIsNotChosenAgain)
{
    UpstreamBoard board("north");
    board.setUpstreams(three());
    std::vector<std::string> tried { "u1", "u3" };
    for (int index = 0; index < 50; ++index)
        EXPECT_EQ(board.choose(plainNeed(tried), s_now)->upstream.id, "u2");
    tried.push_back("u2");
    EXPECT_FALSE(board.choose(plainNeed(tried), s_now));
}

TEST(UpstreamBoardTest, TheOwnFailureDomainIsPreferredUntilItIsBusy)
{
    UpstreamBoard board("north");
    board.setUpstreams({ upstream("near", "north"), upstream("far", "south") });
    std::vector<std::string> chosen;
    for (int index = 0; index < 6; ++index) {
        auto choice = board.choose(plainNeed(), s_now);
        board.began(*choice);
        chosen.push_back(choice->upstream.id);
    }
    EXPECT_EQ(chosen[0], "near");
    EXPECT_EQ(chosen[1], "near");
    EXPECT_EQ(std::count(chosen.begin(), chosen.end(), "far"), 2);
}

TEST(UpstreamBoardTest, AReportNarrowsAnUpstreamUntilItIsOld)
{
    UpstreamBoard board("north");
    board.setUpstreams({ upstream("u1"), upstream("u2") });
    board.reported("u1", { 6, 4, 6 }, s_now);
    for (int index = 0; index < 50; ++index)
        EXPECT_EQ(board.choose(plainNeed(), s_now)->upstream.id, "u2");
    std::set<std::string> later;
    for (int index = 0; index < 200; ++index)
        later.insert(board.choose(plainNeed(), s_now + 2s)->upstream.id);
    EXPECT_EQ(later.size(), 2U);
}

TEST(UpstreamBoardTest, AnUnreachableUpstreamIsLeftOutUnlessAllAre)
{
    UpstreamBoard board("north");
    board.setUpstreams({ upstream("u1"), upstream("u2") });
    UpstreamBoard::Choice first { upstream("u1"), 0, false };
    board.began(first);
    board.ended(first, false, TryOutcome::Unreachable, s_now);
    for (int index = 0; index < 50; ++index)
        EXPECT_EQ(board.choose(plainNeed(), s_now)->upstream.id, "u2");
    UpstreamBoard::Choice second { upstream("u2"), 0, false };
    board.began(second);
    board.ended(second, false, TryOutcome::Unreachable, s_now);
    EXPECT_TRUE(board.choose(plainNeed(), s_now)) << "a try is better than a refusal";
}

TEST(UpstreamBoardTest, AnUpstreamThatFailsMoreThanTheOthersIsTakenLast)
{
    UpstreamBoard board("north");
    board.setUpstreams(three());
    for (int index = 0; index < 8; ++index) {
        for (const auto& record : three()) {
            UpstreamBoard::Choice choice { record, 0, false };
            board.began(choice);
            board.ended(choice, false, record.id == "u2" ? TryOutcome::Failed : TryOutcome::Answered, s_now);
        }
    }
    for (int index = 0; index < 100; ++index)
        EXPECT_NE(board.choose(plainNeed(), s_now)->upstream.id, "u2");
}

TEST(UpstreamBoardTest, LoadsOfOtherRoutersCountUntilTheyAreReplaced)
{
    UpstreamBoard board("north");
    board.setUpstreams({ upstream("u1"), upstream("u2") });
    board.setOtherLoads({ { shortHash("u1"), UpstreamLoad { 5, 0, 0 } } });
    for (int index = 0; index < 50; ++index)
        EXPECT_EQ(board.choose(plainNeed(), s_now)->upstream.id, "u2");
    board.setOtherLoads({});
    std::set<std::string> chosen;
    for (int index = 0; index < 200; ++index)
        chosen.insert(board.choose(plainNeed(), s_now)->upstream.id);
    EXPECT_EQ(chosen.size(), 2U);
}

} // namespace Brassladder::RouteServing::Routing
