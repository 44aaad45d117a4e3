// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/SseFramer.h"

#include <charconv>

namespace Brassladder::RouteServing::Gateway {

// An empty line ends an event (HTML Standard, "Server-sent events").
static constexpr std::string_view eventEnd = "\n\n";
static constexpr std::string_view idField = "id:";

static std::optional<uint64_t> parseEventId(std::string_view event)
{
    while (!event.empty()) {
        auto line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        uint64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc())
            return id;
    }
    return std::nullopt;
}

std::string SseFramer::takeEvents()
{
    std::string events;
    m_eventsTaken = 0;
    size_t start = 0;
    for (auto end = m_buffer.find(eventEnd); end != std::string::npos; end = m_buffer.find(eventEnd, start)) {
        auto event = std::string_view(m_buffer).substr(start, end + eventEnd.size() - start);
        start = end + eventEnd.size();
        auto id = parseEventId(event);
        // An upstream that resumes the stream may repeat events from before the requested one.
        bool isRepeated = id && m_lastId && *id <= *m_lastId;
        if (isRepeated)
            continue;
        if (id)
            m_lastId = id;
        events += event;
        ++m_eventsTaken;
        ++m_eventCount;
    }
    m_buffer.erase(0, start);
    return events;
}

std::string SseFramer::takeRemainder() { return std::exchange(m_buffer, {}); }

} // namespace Brassladder::RouteServing::Gateway
