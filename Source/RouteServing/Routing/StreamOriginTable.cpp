// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/StreamOriginTable.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using Common::TimePoint;

void StreamOriginTable::makeSpace(TimePoint now)
{
    while (!m_ends.empty() && (m_ends.begin()->first <= now || m_entries.size() > m_capacity)) {
        m_dropped += m_ends.begin()->first > now;
        m_entries.erase(m_ends.begin()->second);
        m_ends.erase(m_ends.begin());
    }
}

void StreamOriginTable::record(const StreamKey& key, const StreamOrigin& origin, TimePoint until, TimePoint now)
{
    if (until <= now || origin.softwareVersion.empty())
        return;
    auto [found, isNew] = m_entries.try_emplace(key, Entry { origin, until });
    auto& entry = found->second;
    if (!isNew) {
        m_ends.erase({ entry.until, key });
        entry.isAmbiguous |= entry.origin != origin;
        entry.until = std::max(entry.until, until);
    }
    m_ends.insert({ entry.until, key });
    makeSpace(now);
}

std::optional<StreamOrigin> StreamOriginTable::find(const StreamKey& key, TimePoint now) const
{
    auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.isAmbiguous || found->second.until <= now)
        return std::nullopt;
    return found->second.origin;
}

std::vector<StreamOriginTable::Record> StreamOriginTable::records(TimePoint now) const
{
    std::vector<Record> records;
    for (const auto& [key, entry] : m_entries) {
        if (!entry.isAmbiguous && entry.until > now)
            records.push_back({ key, entry.origin, entry.until });
    }
    return records;
}

} // namespace Brassladder::RouteServing::Routing
