// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Upstream/SseParser.h"

#include <gtest/gtest.h>

namespace Brassladder::ClassServing::Upstream {

TEST(SseParserTest, EventsAreParsedFromArbitraryChunks)
{
    static const std::string s_stream
        = "data: one\n\nevent: paused\ndata: {\"tokens\":2}\n\ndata: a\ndata: b\r\n\n: comment\n\n";
    for (size_t step = 1; step < s_stream.size(); ++step) {
        SseParser parser;
        std::vector<SseEvent> events;
        for (size_t at = 0; at < s_stream.size(); at += step) {
            parser.feed(std::string_view(s_stream).substr(at, step));
            while (auto event = parser.next())
                events.push_back(*event);
        }
        ASSERT_EQ(events.size(), 4u);
        EXPECT_EQ(events[0].data, "one");
        EXPECT_EQ(events[1].name, "paused");
        EXPECT_EQ(events[2].data, "a\nb");
        EXPECT_EQ(parser.unfinishedBytes(), 0u);
    }
}

} // namespace Brassladder::ClassServing::Upstream
