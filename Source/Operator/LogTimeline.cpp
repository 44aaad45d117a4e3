// SPDX-License-Identifier: Apache-2.0
#include "Operator/LogTimeline.h"

#include <absl/time/time.h>

#include <algorithm>
#include <array>
#include <istream>
#include <map>

namespace Brassladder::Operator {

using Common::Json;
using Common::member;

// State changes at most this long before a request are listed as well.
static constexpr absl::Duration stateChangeLookback = absl::Seconds(5);

// Events that report a change of a router's state or of its dependencies.
static constexpr std::array<std::string_view, 14> stateChangeEvents { "configuration.adopted",
    "configuration.unreadable", "dependency.lost", "dependency.regained", "hub.role", "hub.silent", "listening",
    "drain.start", "drain.end", "suspect.lifted", "upstream.asked_rest", "upstream.limit_ended", "upstream.names_limit",
    "upstream.says_leaving" };

static bool isStateChange(std::string_view event)
{
    return std::find(stateChangeEvents.begin(), stateChangeEvents.end(), event) != stateChangeEvents.end();
}

// Whether the line of a crash lists the request among those in flight at the upstream.
static bool listsRequest(const Json& line, const std::string& requestId)
{
    auto requests = line.find("requests");
    if (requests == line.end() || !requests->is_array())
        return false;
    return std::any_of(requests->begin(), requests->end(),
        [&](const Json& each) { return each.is_object() && member<std::string>(each, "request", "") == requestId; });
}

static LogTimeline::Entry makeEntry(Json line, bool isRequestLine)
{
    LogTimeline::Entry entry { member<std::string>(line, "time", ""), member<std::string>(line, "instance", ""),
        member<std::string>(line, "event", ""), isRequestLine, {} };
    for (const auto* commonField : { "time", "instance", "event", "level", "package", "request" })
        line.erase(commonField);
    entry.details = std::move(line);
    return entry;
}

void LogTimeline::read(std::istream& log)
{
    for (std::string text; std::getline(log, text);) {
        auto start = text.find('{');
        if (start == std::string::npos) {
            m_unreadableLines += !text.empty();
            continue;
        }
        auto line = Common::parseJson(std::string_view(text).substr(start));
        if (!line.is_object() || !line.contains("event")) {
            ++m_unreadableLines;
            continue;
        }
        if (member<std::string>(line, "request", "") == m_requestId || listsRequest(line, m_requestId))
            m_requestEntries.push_back(makeEntry(std::move(line), true));
        else if (isStateChange(member<std::string>(line, "event", "")))
            m_stateChanges.push_back(makeEntry(std::move(line), false));
    }
}

static absl::Time timeOf(const LogTimeline::Entry& entry)
{
    absl::Time time;
    std::string problem;
    if (!absl::ParseTime(absl::RFC3339_full, entry.time, &time, &problem))
        return absl::InfinitePast();
    return time;
}

// The time during which a router handled the request.
struct RequestInterval {
    absl::Time from;
    absl::Time until;
};

static std::map<std::string, RequestInterval> requestIntervalsOf(const std::vector<LogTimeline::Entry>& entries)
{
    std::map<std::string, RequestInterval> intervals;
    for (const auto& entry : entries) {
        auto until = timeOf(entry);
        // The last line of a request has its duration.
        auto from = until - absl::Milliseconds(member<int64_t>(entry.details, "ms", 0));
        auto [interval, isNew] = intervals.try_emplace(entry.instance, RequestInterval { from, until });
        interval->second.from = std::min(interval->second.from, from);
        interval->second.until = std::max(interval->second.until, until);
    }
    return intervals;
}

std::vector<LogTimeline::Entry> LogTimeline::entries() const
{
    auto intervals = requestIntervalsOf(m_requestEntries);
    auto entries = m_requestEntries;
    std::copy_if(m_stateChanges.begin(), m_stateChanges.end(), std::back_inserter(entries), [&](const Entry& change) {
        auto interval = intervals.find(change.instance);
        auto time = timeOf(change);
        return interval != intervals.end() && time >= interval->second.from - stateChangeLookback
            && time <= interval->second.until;
    });
    std::stable_sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) { return a.time < b.time; });
    return entries;
}

} // namespace Brassladder::Operator
