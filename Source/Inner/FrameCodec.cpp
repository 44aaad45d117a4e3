// SPDX-License-Identifier: Apache-2.0
#include "Inner/FrameCodec.h"

#include <boost/endian/conversion.hpp>

namespace Brassladder::Inner {

using Common::ErrorKind;

// Width of the length prefix of each frame.
static constexpr size_t lengthPrefixBytes = sizeof(uint32_t);

std::string encodeFrame(const Wire::Frame& frame)
{
    std::string bytes(lengthPrefixBytes, '\0');
    frame.AppendToString(&bytes);
    boost::endian::store_big_u32(
        reinterpret_cast<unsigned char*>(bytes.data()), static_cast<uint32_t>(bytes.size() - lengthPrefixBytes));
    return bytes;
}

Common::Result<std::vector<Wire::Frame>> FrameDecoder::feed(std::string_view bytes)
{
    m_buffer += bytes;
    std::vector<Wire::Frame> frames;
    size_t consumed = 0;
    while (m_buffer.size() - consumed >= lengthPrefixBytes) {
        uint32_t length
            = boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(m_buffer.data() + consumed));
        if (length > maxFrameBytes)
            return Common::makeError(ErrorKind::BadRequest, "frame exceeds the size limit");
        if (m_buffer.size() - consumed - lengthPrefixBytes < length)
            break;
        Wire::Frame frame;
        if (!frame.ParseFromArray(m_buffer.data() + consumed + lengthPrefixBytes, static_cast<int>(length)))
            return Common::makeError(ErrorKind::BadRequest, "frame is not a valid Frame message");
        frames.push_back(std::move(frame));
        consumed += lengthPrefixBytes + length;
    }
    m_buffer.erase(0, consumed);
    return frames;
}

} // namespace Brassladder::Inner
