// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/UpstreamStatements.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

// Above this number of entries, those without an active cooldown are evicted: first all that are not leaving, then the
// oldest that are. Larger than the number of upstreams in a fleet; the entries take about 0.4 MB.
static constexpr size_t maxStatementEntries = 4096;

const UpstreamStatements::StatementEntry* UpstreamStatements::find(const UpstreamRecord& upstream) const
{
    auto found = m_entries.find(upstream.id);
    return found != m_entries.end() && found->second.born == upstream.born ? &found->second : nullptr;
}

bool UpstreamStatements::record(
    const UpstreamRecord& upstream, const UpstreamStatement& statement, Common::TimePoint now)
{
    if (statement.isEmpty())
        return false;
    auto [position, isNew] = m_entries.try_emplace(upstream.id, StatementEntry { upstream.born });
    auto& entry = position->second;
    // A delayed response of an earlier incarnation.
    if (upstream.born < entry.born)
        return false;
    if (upstream.born > entry.born)
        entry = { upstream.born };
    bool isNewInformation
        = (statement.isLeaving && !entry.isLeaving) || (statement.cooldown && entry.cooldownEnd <= now);
    entry.isLeaving |= statement.isLeaving;
    if (statement.cooldown)
        entry.cooldownEnd = std::max(entry.cooldownEnd, now + *statement.cooldown);
    entry.recorded = now;
    if (isNew && m_entries.size() > maxStatementEntries)
        evictOldest(now);
    return isNewInformation;
}

void UpstreamStatements::evictOldest(Common::TimePoint now)
{
    auto isIdle = [&](const auto& each) { return each.second.cooldownEnd <= now; };
    std::erase_if(m_entries, [&](const auto& each) { return isIdle(each) && !each.second.isLeaving; });
    while (m_entries.size() > maxStatementEntries) {
        auto oldest = std::min_element(m_entries.begin(), m_entries.end(), [&](const auto& left, const auto& right) {
            return std::pair(!isIdle(left), left.second.recorded) < std::pair(!isIdle(right), right.second.recorded);
        });
        // An active cooldown is never evicted.
        if (!isIdle(*oldest))
            return;
        m_entries.erase(oldest);
    }
}

bool UpstreamStatements::allowsRequest(const UpstreamRecord& upstream, Common::TimePoint now) const
{
    const auto* entry = m_entries.empty() ? nullptr : find(upstream);
    return !entry || (!entry->isLeaving && entry->cooldownEnd <= now);
}

bool UpstreamStatements::isLeaving(const UpstreamRecord& upstream) const
{
    const auto* entry = find(upstream);
    return entry && entry->isLeaving;
}

std::optional<Common::TimePoint> UpstreamStatements::cooldownEnd(
    const UpstreamRecord& upstream, Common::TimePoint now) const
{
    const auto* entry = find(upstream);
    if (!entry || entry->cooldownEnd <= now)
        return std::nullopt;
    return entry->cooldownEnd;
}

size_t UpstreamStatements::cooldownCount(Common::TimePoint now) const
{
    return static_cast<size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [&](const auto& each) { return each.second.cooldownEnd > now; }));
}

} // namespace Brassladder::RouteServing::Routing
