// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Inner/FrameCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Brassladder::Inner {

TEST(FrameCodecTest, FramesAreDecodedFromArbitraryChunks)
{
    bool holds = rc::check("frames", [] {
        auto names = *rc::gen::container<std::vector<std::string>>(rc::gen::string<std::string>());
        std::string bytes;
        for (const auto& name : names) {
            Wire::Frame frame;
            frame.set_incarnation(name.size());
            frame.add_items()->mutable_grant()->set_sequence(name.size());
            bytes += encodeFrame(frame);
        }
        FrameDecoder decoder;
        size_t decoded = 0;
        while (!bytes.empty()) {
            auto cut = *rc::gen::inRange<size_t>(1, bytes.size() + 1);
            auto frames = decoder.feed(std::string_view(bytes).substr(0, cut));
            RC_ASSERT(!isError(frames));
            for (const auto& frame : valueOf(frames))
                RC_ASSERT(frame.incarnation() == names[decoded++].size());
            bytes.erase(0, cut);
        }
        RC_ASSERT(decoded == names.size());
    });
    EXPECT_TRUE(holds);
}

TEST(FrameCodecTest, MalformedInputIsRejected)
{
    EXPECT_TRUE(isError(FrameDecoder().feed("\xff\xff\xff\xff")));
    EXPECT_TRUE(isError(FrameDecoder().feed(std::string("\0\0\0\3\xff\xff\xff", 7))));
}

} // namespace Brassladder::Inner
