// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Error.h"
#include "Inner/Inner.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace Brassladder::Inner {

// The largest frame that is taken from a peer: a full configuration of 4,300 workspaces at about 600 bytes is 2.6 MB.
inline constexpr uint32_t maxFrameBytes = 16 * 1024 * 1024;

// A frame with its length (four bytes, most significant first) in front.
std::string encodeFrame(const Wire::Frame&);

// Cuts a stream of bytes into frames.
class FrameDecoder {
public:
    // Adds bytes and returns the frames that are whole by now; BadRequest when a frame is too large or is no frame.
    Common::Result<std::vector<Wire::Frame>> feed(std::string_view);

private:
    std::string m_buffer;
};

} // namespace Brassladder::Inner
