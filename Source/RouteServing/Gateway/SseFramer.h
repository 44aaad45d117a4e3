// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Gateway {

// Splits a server-sent event stream into whole events without changing a byte. A stream that is interrupted is relayed
// up to its last whole event and can be resumed after it. Decodes only the ids of events, unlike the parser of class
// serving (ClassServing/Upstream/SseParser.h). Not thread-safe.
class SseFramer {
public:
    void feed(std::string_view bytes) { m_buffer += bytes; }

    // Returns the buffered whole events, without those whose id is not above the last one taken; empty if there are
    // none.
    std::string takeEvents();
    // Returns the bytes after the last whole event.
    std::string takeRemainder();

    // Discards the bytes of an event that the upstream did not finish.
    void discardPartialEvent() { m_buffer.clear(); }

    // Number of buffered bytes after the last whole event.
    size_t unfinishedBytes() const { return m_buffer.size(); }

    // Returns the number of events that takeEvents() last returned.
    size_t eventsTaken() const { return m_eventsTaken; }

    // Id of the last event taken; nullopt before the first one.
    std::optional<uint64_t> lastId() const { return m_lastId; }

    // Number of events taken.
    size_t eventCount() const { return m_eventCount; }

private:
    size_t m_eventCount { 0 };
    std::string m_buffer;
    std::optional<uint64_t> m_lastId;
    size_t m_eventsTaken { 0 };
};

} // namespace Brassladder::RouteServing::Gateway
