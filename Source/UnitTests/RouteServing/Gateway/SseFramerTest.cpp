// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/SseFramer.h"

#include <gtest/gtest.h>

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

} // namespace Brassladder::RouteServing::Gateway
