// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::ClassServing::Upstream {

// One server-sent event: its name (empty if it has none), its data, and its bytes as received.
struct SseEvent {
    std::string name;
    std::string data;
    std::string raw;
};

// Splits the body of a stream into events. Lines end with a line feed, events with an empty line. Ignores a carriage
// return at the end of a line. An empty line with a carriage return does not end the event.
class SseParser {
public:
    void feed(std::string_view bytes) { m_buffer += bytes; }
    // Returns the next complete event, or nullopt.
    std::optional<SseEvent> next();
    // Returns the number of buffered bytes that `next` has not returned yet.
    size_t unfinishedBytes() const { return m_buffer.size(); }

private:
    std::string m_buffer;
};

} // namespace Brassladder::ClassServing::Upstream
