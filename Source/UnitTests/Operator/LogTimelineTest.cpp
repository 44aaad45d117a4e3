// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Operator/LogTimeline.h"

#include <gtest/gtest.h>
#include <sstream>

namespace Brassladder::Operator {

namespace {

std::vector<std::string> eventsOf(const LogTimeline& timeline)
{
    std::vector<std::string> events;
    for (const auto& entry : timeline.entries())
        events.push_back(entry.instance + " " + entry.event);
    return events;
}

constexpr const char* s_first
    = R"(  9.1 r1 {"event":"try.failed","request":"a1","instance":"r1","time":"2026-12-02T10:00:10.500Z","fate":"maybe_ran"}
not a line of ours
{"event":"configuration.adopted","instance":"r1","time":"2026-12-02T10:00:06.000Z","version":7}
{"event":"configuration.adopted","instance":"r1","time":"2026-12-02T10:00:04.000Z","version":6}
{"event":"request.end","request":"a1","instance":"r1","time":"2026-12-02T10:00:11.000Z","ms":1000,"status":502}
{"event":"request.end","request":"a2","instance":"r1","time":"2026-12-02T10:00:10.700Z","ms":3,"status":200}
{"event":"hub.silent","instance":"r1","time":"2026-12-02T10:00:11.001Z"}
)";
constexpr const char* s_second = R"({"event":"dependency.lost","instance":"r2","time":"2026-12-02T10:00:10.600Z"}
)";

} // namespace

TEST(LogTimelineTest, RequestLinesAndStateChangesAreOrderedByTime)
{
    LogTimeline timeline("a1");
    for (const auto* text : { s_first, s_second }) {
        std::istringstream log(text);
        timeline.read(log);
    }
    // Excluded: a change six seconds before the request, one after its end, and one of another router.
    EXPECT_EQ(eventsOf(timeline),
        (std::vector<std::string> { "r1 configuration.adopted", "r1 try.failed", "r1 request.end" }));
    EXPECT_EQ(timeline.unreadableLines(), 1U);
    auto end = timeline.entries().back();
    EXPECT_TRUE(end.isRequestLine);
    EXPECT_EQ(end.details, (Common::Json { { "ms", 1000 }, { "status", 502 } }));
}

// The line of a crash lists the requests in flight and belongs to the timeline of each of them.
TEST(LogTimelineTest, CrashIsListedForTheRequestsInFlight)
{
    LogTimeline timeline("a1");
    std::istringstream log(
        R"({"event":"try.failed","request":"a1","instance":"r1","time":"2026-12-02T10:00:10.500Z","ended":"closed"}
{"event":"upstream.crashed","upstream":"w1","instance":"r1","time":"2026-12-02T10:00:10.530Z","requests":[{"request":"a1","identity":"00ff"},{"request":"a2","identity":"11ff"}]}
{"event":"upstream.crashed","upstream":"w2","instance":"r2","time":"2026-12-02T10:00:12.530Z","requests":[{"request":"a3","identity":"00ff"}]}
)");
    timeline.read(log);
    EXPECT_EQ(eventsOf(timeline), (std::vector<std::string> { "r1 try.failed", "r1 upstream.crashed" }));
}

TEST(LogTimelineTest, UnknownRequestHasNoEntries)
{
    LogTimeline timeline("a9");
    std::istringstream log(s_first);
    timeline.read(log);
    EXPECT_TRUE(timeline.entries().empty());
}

} // namespace Brassladder::Operator
