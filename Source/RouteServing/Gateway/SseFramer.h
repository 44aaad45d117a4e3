// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Gateway {

// Splits a server-sent event stream into whole events without changing a byte. A stream that is interrupted is relayed
// up to its last whole event and can be resumed after it. Lines end with a line feed, a carriage return or both; an
// empty line ends an event (HTML Standard, "Server-sent events"). Decodes only the ids of events, unlike the parser of
// class serving (ClassServing/Upstream/SseParser.h). Not thread-safe.
class SseFramer {
public:
    void feed(std::string_view bytes) { m_buffer += bytes; }

    // Returns the buffered whole events, without those whose id is not above the last one taken; empty if there are
    // none.
    std::string takeEvents();
    // Returns the bytes after the last whole event.
    std::string takeRemainder();

    // Discards the bytes of an event that the upstream did not finish.
    void discardPartialEvent() { clearBuffer(); }

    // Whether the bytes after the last whole event are a part of an event: comments, empty lines and a byte order mark
    // are none.
    bool hasPartialEvent() const;
    // Number of buffered bytes after the last whole event.
    size_t unfinishedBytes() const { return m_buffer.size(); }

    // Returns the number of events that takeEvents() last returned.
    size_t eventsTaken() const { return m_eventsTaken; }

    // Id of the last event taken; nullopt before the first one.
    std::optional<uint64_t> lastId() const { return m_lastId; }

    // Number of events taken.
    size_t eventCount() const { return m_eventCount; }

private:
    // Returns the next complete line without its end; nullopt if there is none.
    std::optional<std::string_view> nextLine();
    // Appends the event unless it is repeated.
    void take(std::string_view event, std::string& events);
    void clearBuffer();

    size_t m_eventCount { 0 };
    std::string m_buffer;
    size_t m_lineStart { 0 }; // In the buffer, of the first line that is not complete.
    size_t m_searched { 0 }; // The buffer holds no line end between m_lineStart and this position.
    bool m_lastLineEndedInReturn { false }; // A line feed at m_lineStart belongs to the line before.
    bool m_hasLines { false }; // The buffer holds a complete line that is not empty.
    std::optional<uint64_t> m_lastId;
    size_t m_eventsTaken { 0 };
};

} // namespace Brassladder::RouteServing::Gateway
