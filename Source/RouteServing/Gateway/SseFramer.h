// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Gateway {

// Splits the bytes of a server-sent event stream at the ends of its events without changing a byte, so that a stream
// that breaks off is relayed up to its last whole event and can be resumed after it. Unlike the parser of class serving
// (ClassServing/Upstream/SseParser.h) it does not decode the events.
class SseFramer {
public:
    void feed(std::string_view bytes) { m_buffer += bytes; }

    // All whole events that are buffered and newer than the last one taken; empty when there are none.
    std::string takeEvents();
    // The bytes after the last whole event.
    std::string takeRemainder();

    // The upstream broke off: the bytes of the event that it did not finish are discarded.
    void discardPartialEvent() { m_buffer.clear(); }

    // Id of the last event taken; none before the first one.
    std::optional<uint64_t> lastId() const { return m_lastId; }

private:
    std::string m_buffer;
    std::optional<uint64_t> m_lastId;
};

} // namespace Brassladder::RouteServing::Gateway
