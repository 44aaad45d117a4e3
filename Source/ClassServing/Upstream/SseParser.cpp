// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Upstream/SseParser.h"

namespace Brassladder::ClassServing::Upstream {

static void parseLine(std::string_view line, SseEvent& event)
{
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return;
    auto field = line.substr(0, colon);
    auto value = line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (field == "event")
        event.name = value;
    if (field == "data")
        event.data += (event.data.empty() ? "" : "\n") + std::string(value);
}

std::optional<SseEvent> SseParser::next()
{
    auto end = m_buffer.find("\n\n");
    if (end == std::string::npos)
        return std::nullopt;
    SseEvent event;
    event.raw = m_buffer.substr(0, end + 2);
    m_buffer.erase(0, end + 2);
    std::string_view rest(event.raw);
    while (!rest.empty()) {
        auto lineEnd = rest.find('\n');
        parseLine(rest.substr(0, lineEnd), event);
        rest.remove_prefix(lineEnd + 1);
    }
    return event;
}

} // namespace Brassladder::ClassServing::Upstream
