// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/SseFramer.h"

#include <absl/strings/escaping.h>
#include <gtest/gtest.h>
#include <random>
#include <set>

namespace Brassladder::RouteServing::Gateway {

TEST(SseFramerTest, EventsAreRelayedWholeAndUnchanged)
{
    SseFramer framer;
    framer.feed("id: 1\ndata: a");
    EXPECT_EQ(framer.takeEvents(), "");
    framer.feed("b\n\nid: 2\nda");
    EXPECT_EQ(framer.takeEvents(), "id: 1\ndata: ab\n\n");
    EXPECT_EQ(framer.lastId(), 1U);
    framer.feed("ta: c\n\n\nrest");
    EXPECT_EQ(framer.takeEvents(), "id: 2\ndata: c\n\n");
    EXPECT_EQ(framer.takeRemainder(), "\nrest");
}

// Guards against relaying the unfinished event of a crashed engine before the events of the upstream that resumes the
// stream.
TEST(SseFramerTest, AnUnfinishedEventIsDiscardedBeforeAnotherUpstreamResumes)
{
    SseFramer framer;
    framer.feed("id: 1\ndata: a\n\nid: 2\ndata: hal");
    EXPECT_EQ(framer.takeEvents(), "id: 1\ndata: a\n\n");
    framer.discardPartialEvent();
    framer.feed("id: 2\ndata: half\n\n");
    EXPECT_EQ(framer.takeEvents(), "id: 2\ndata: half\n\n");
}

TEST(SseFramerTest, EventsThatWereRelayedAreNotRepeated)
{
    SseFramer framer;
    framer.feed("id: 4\ndata: a\n\nid: 5\ndata: b\n\n");
    EXPECT_EQ(framer.takeEvents(), "id: 4\ndata: a\n\nid: 5\ndata: b\n\n");
    framer.feed("id: 5\ndata: b\n\nid: 6\ndata: c\n\n");
    EXPECT_EQ(framer.takeEvents(), "id: 6\ndata: c\n\n");
    EXPECT_EQ(framer.eventsTaken(), 1U) << "repeated events do not count towards the engine's pace";
    EXPECT_EQ(framer.lastId(), 6U);
}

TEST(SseFramerTest, EachKindOfLineEndEndsEvents)
{
    for (const std::string lineEnd : { "\n", "\r\n", "\r" }) {
        std::string event;
        for (const std::string_view line : { "id: 1", "data: a", "" })
            event.append(line).append(lineEnd);
        SseFramer framer;
        framer.feed(event);
        EXPECT_EQ(framer.takeEvents(), event);
        EXPECT_EQ(framer.lastId(), 1U);
        EXPECT_FALSE(framer.hasPartialEvent());
    }
}

TEST(SseFramerTest, ALineFeedThatArrivesAfterItsCarriageReturnEndsNoFurtherLine)
{
    SseFramer framer;
    framer.feed("data: a\r");
    EXPECT_EQ(framer.takeEvents(), "");
    framer.feed("\ndata: b\r\n\r");
    EXPECT_EQ(framer.takeEvents(), "data: a\r\ndata: b\r\n\r");
    framer.feed("\nid: 2\r\n");
    EXPECT_EQ(framer.takeEvents(), "");
    framer.feed("\r\n");
    EXPECT_EQ(framer.takeEvents(), "\nid: 2\r\n\r\n");
    EXPECT_EQ(framer.lastId(), 2U);
}

TEST(SseFramerTest, OnlyFieldsAreAPartOfAnEvent)
{
    struct Case {
        std::string_view rest;
        bool isPartialEvent;
    };
    for (const auto& [rest, isPartialEvent] : std::vector<Case> {
             { "", false },
             { "\n", false },
             { "\r\n", false },
             { ": comment\n", false },
             { ": comm", false },
             { "\xEF\xBB\xBF", false },
             { ": comment\n\xEF\xBB\xBF\n", false },
             { "d", true },
             { "data: a\n", true },
             { "\ndata: a\n", true },
             { ": comment\nid: 2", true },
         }) {
        SseFramer framer;
        framer.feed("data: a\n\n" + std::string(rest));
        EXPECT_EQ(framer.takeEvents(), "data: a\n\n");
        EXPECT_EQ(framer.hasPartialEvent(), isPartialEvent) << rest;
        EXPECT_EQ(framer.takeRemainder(), rest);
        EXPECT_FALSE(framer.hasPartialEvent());
    }
}

namespace {

// Returns the positions after each event, a line at a time over the whole text. A position before the line feed of a
// pair also ends the event.
std::set<size_t> eventEnds(std::string_view text)
{
    std::set<size_t> ends { 0 };
    bool hasLines = false;
    for (size_t start = 0; start < text.size();) {
        auto end = text.find_first_of("\r\n", start);
        if (end == std::string_view::npos)
            break;
        bool isPair = text.substr(end).starts_with("\r\n");
        bool isEmpty = end == start;
        if (isEmpty && hasLines) {
            ends.insert(end + 1);
            ends.insert(end + (isPair ? 2 : 1));
        }
        hasLines = !(isEmpty && hasLines) && (hasLines || !isEmpty);
        start = end + (isPair ? 2 : 1);
    }
    return ends;
}

} // namespace

// Guards against events that are cut, lost or held back for some split of the bytes or some line ends.
TEST(SseFramerTest, AnySplitOfAnyBytesGivesWholeEventsAndLosesNothing)
{
    static constexpr std::string_view alphabet = "\r\n\r\n\r\na: ";
    std::mt19937_64 random(61);
    for (int round = 0; round < 20'000; ++round) {
        std::string text;
        for (auto length = random() % 40; text.size() < length;)
            text += alphabet[random() % alphabet.size()];
        SseFramer framer;
        std::string taken;
        for (size_t fed = 0; fed < text.size();) {
            auto piece = std::string_view(text).substr(fed, 1 + random() % 6);
            fed += piece.size();
            framer.feed(piece);
            taken += framer.takeEvents();
            auto ends = eventEnds(std::string_view(text).substr(0, fed));
            ASSERT_TRUE(ends.contains(taken.size())) << absl::CEscape(text);
            ASSERT_GE(taken.size() + 1, *ends.rbegin()) << absl::CEscape(text) << " is held back";
        }
        ASSERT_EQ(taken + framer.takeRemainder(), text);
    }
}

} // namespace Brassladder::RouteServing::Gateway
