// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::ClassServing::Upstream {

// One server-sent event: its name (empty for the usual kind), its data, and its bytes as they came.
struct SseEvent {
    std::string name;
    std::string data;
    std::string raw;
};

// Cuts the body of a stream into events. A bare line feed ends lines, as engines send it; a carriage return before it
// is passed over.
class SseParser {
public:
    void feed(std::string_view bytes) { m_buffer += bytes; }
    // The next whole event, if there is one.
    std::optional<SseEvent> next();
    // Bytes of an event that has not ended.
    size_t unfinishedBytes() const { return m_buffer.size(); }

private:
    std::string m_buffer;
};

} // namespace Brassladder::ClassServing::Upstream
