// SPDX-License-Identifier: Apache-2.0
#include "Inner/FrameCodec.h"

#include <boost/endian/conversion.hpp>

namespace Brassladder::Inner {

using Common::ErrorKind;

// Width of the length in front of each frame.
static constexpr size_t lengthBytes = sizeof(uint32_t);

std::string encodeFrame(const Wire::Frame& frame)
{
    std::string bytes(lengthBytes, '\0');
    frame.AppendToString(&bytes);
    boost::endian::store_big_u32(
        reinterpret_cast<unsigned char*>(bytes.data()), static_cast<uint32_t>(bytes.size() - lengthBytes));
    return bytes;
}

Common::Result<std::vector<Wire::Frame>> FrameDecoder::feed(std::string_view bytes)
{
    m_buffer += bytes;
    std::vector<Wire::Frame> frames;
    size_t taken = 0;
    while (m_buffer.size() - taken >= lengthBytes) {
        uint32_t length = boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(m_buffer.data() + taken));
        if (length > maxFrameBytes)
            return Common::makeError(ErrorKind::BadRequest, "a frame is larger than the limit");
        if (m_buffer.size() - taken - lengthBytes < length)
            break;
        Wire::Frame frame;
        if (!frame.ParseFromArray(m_buffer.data() + taken + lengthBytes, static_cast<int>(length)))
            return Common::makeError(ErrorKind::BadRequest, "not a frame");
        frames.push_back(std::move(frame));
        taken += lengthBytes + length;
    }
    m_buffer.erase(0, taken);
    return frames;
}

} // namespace Brassladder::Inner
