// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/Compression.h"

#include <memory>
#include <new>

#define ZLIB_CONST
#include <zlib.h>

namespace Brassladder::Common {

static constexpr size_t outputChunkBytes = 64 * 1024;

static const Bytef* bytesOf(std::string_view text) { return reinterpret_cast<const Bytef*>(text.data()); }
static Bytef* bytesOf(std::string& text) { return reinterpret_cast<Bytef*>(text.data()); }

std::string deflate(std::string_view bytes)
{
    auto size = compressBound(bytes.size());
    std::string deflated(size, '\0');
    // Fails only if the output buffer is too small or memory is exhausted.
    if (compress2(bytesOf(deflated), &size, bytesOf(bytes), bytes.size(), Z_BEST_SPEED) != Z_OK)
        throw std::bad_alloc();
    deflated.resize(size);
    return deflated;
}

Result<std::string> inflate(std::string_view bytes, size_t maxBytes)
{
    z_stream stream {};
    if (inflateInit(&stream) != Z_OK)
        throw std::bad_alloc();
    std::unique_ptr<z_stream, decltype(&inflateEnd)> end(&stream, &inflateEnd);
    stream.next_in = bytesOf(bytes);
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string inflated;
    std::string chunk(outputChunkBytes, '\0'); // On the heap: too large for a fiber's stack.
    int status = Z_OK;
    while (status == Z_OK && inflated.size() <= maxBytes) {
        stream.next_out = bytesOf(chunk);
        stream.avail_out = static_cast<uInt>(chunk.size());
        status = ::inflate(&stream, Z_NO_FLUSH);
        inflated.append(chunk, 0, chunk.size() - stream.avail_out);
    }
    if (inflated.size() > maxBytes)
        return makeError(ErrorKind::BadRequest, "inflated data exceeds " + std::to_string(maxBytes) + " bytes");
    // All input is consumed, but the stream has not ended.
    if (status == Z_BUF_ERROR)
        return makeError(ErrorKind::BadRequest, "truncated zlib data");
    if (status != Z_STREAM_END)
        return makeError(ErrorKind::BadRequest, stream.msg ? stream.msg : "invalid zlib data");
    return inflated;
}

} // namespace Brassladder::Common
