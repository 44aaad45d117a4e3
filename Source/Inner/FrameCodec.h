// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Error.h"
#include "Inner/Inner.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace Brassladder::Inner {

// Maximum size of a received frame, without its length prefix.
// A configuration of 4,300 workspaces at about 600 bytes each takes 2.6 MB.
inline constexpr uint32_t maxFrameBytes = 16 * 1024 * 1024;

// Serializes a frame and prepends its length (four bytes, big-endian).
std::string encodeFrame(const Wire::Frame&);

// Splits a byte stream into frames.
class FrameDecoder {
public:
    // Appends bytes and returns all frames that are complete. Returns BadRequest if a frame is too large or malformed.
    Common::Result<std::vector<Wire::Frame>> feed(std::string_view);

private:
    std::string m_buffer;
};

} // namespace Brassladder::Inner
