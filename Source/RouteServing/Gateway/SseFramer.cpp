// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/SseFramer.h"

#include <charconv>
#include <utility>

namespace Brassladder::RouteServing::Gateway {

static constexpr std::string_view idField = "id:";
static constexpr std::string_view lineEnds = "\r\n";
static constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

// Removes the first line of the text, with one character of its end, and returns it.
static std::string_view takeLine(std::string_view& text)
{
    auto line = text.substr(0, text.find_first_of(lineEnds));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    if (line.starts_with(byteOrderMark))
        line.remove_prefix(byteOrderMark.size());
    return line;
}

static std::optional<uint64_t> parseEventId(std::string_view event)
{
    while (!event.empty()) {
        auto line = takeLine(event);
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

std::optional<std::string_view> SseFramer::nextLine()
{
    // The line feed of a pair may arrive later than the carriage return.
    if (m_lastLineEndedInReturn && m_lineStart < m_buffer.size()) {
        m_lastLineEndedInReturn = false;
        if (m_buffer[m_lineStart] == '\n')
            ++m_lineStart;
    }
    auto end = m_buffer.find_first_of(lineEnds, std::max(m_searched, m_lineStart));
    if (end == std::string::npos) {
        m_searched = m_buffer.size();
        return std::nullopt;
    }
    auto line = std::string_view(m_buffer).substr(m_lineStart, end - m_lineStart);
    bool isPair = m_buffer.compare(end, lineEnds.size(), lineEnds) == 0;
    m_lastLineEndedInReturn = m_buffer[end] == '\r' && !isPair;
    m_lineStart = end + (isPair ? lineEnds.size() : 1);
    return line;
}

void SseFramer::take(std::string_view event, std::string& events)
{
    auto id = parseEventId(event);
    // An upstream that resumes the stream may repeat events from before the requested one.
    bool isRepeated = id && m_lastId && *id <= *m_lastId;
    if (isRepeated)
        return;
    if (id)
        m_lastId = id;
    events += event;
    ++m_eventsTaken;
    ++m_eventCount;
}

std::string SseFramer::takeEvents()
{
    std::string events;
    m_eventsTaken = 0;
    size_t eventStart = 0;
    while (auto line = nextLine()) {
        bool endsEvent = line->empty() && m_hasLines;
        m_hasLines = !endsEvent && (m_hasLines || !line->empty());
        if (!endsEvent)
            continue;
        take(std::string_view(m_buffer).substr(eventStart, m_lineStart - eventStart), events);
        eventStart = m_lineStart;
    }
    m_buffer.erase(0, eventStart);
    m_lineStart -= eventStart;
    m_searched = m_buffer.size();
    return events;
}

bool SseFramer::hasPartialEvent() const
{
    std::string_view rest = m_buffer;
    while (!rest.empty()) {
        auto line = takeLine(rest);
        if (!line.empty() && !line.starts_with(':'))
            return true;
    }
    return false;
}

void SseFramer::clearBuffer()
{
    m_buffer.clear();
    m_lineStart = 0;
    m_searched = 0;
    m_lastLineEndedInReturn = false;
    m_hasLines = false;
}

std::string SseFramer::takeRemainder()
{
    auto remainder = std::exchange(m_buffer, {});
    clearBuffer();
    return remainder;
}

} // namespace Brassladder::RouteServing::Gateway
