// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/UpstreamStatements.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

// Above this number of entries, those without an active cooldown are evicted: first all that are not leaving, then the
// oldest that are. Larger than the number of upstreams in a fleet; the entries take about 0.4 MB.
static constexpr size_t maxStatementEntries = 4096;

const UpstreamStatements::StatementEntry* UpstreamStatements::find(const UpstreamRecord& upstream) const
{
    auto found = m_known.find(upstream.id);
    return found != m_known.end() && found->second.born == upstream.born ? &found->second : nullptr;
}

bool UpstreamStatements::record(
    const UpstreamRecord& upstream, const UpstreamStatement& statement, Common::TimePoint now)
{
    if (statement.isEmpty())
        return false;
    auto [entry, isNew] = m_known.try_emplace(upstream.id, StatementEntry { upstream.born });
    auto& known = entry->second;
    // A delayed response of an earlier incarnation.
    if (upstream.born < known.born)
        return false;
    if (upstream.born > known.born)
        known = { upstream.born };
    bool isNews = (statement.isLeaving && !known.isLeaving) || (statement.cooldown && known.cooldownEnd <= now);
    known.isLeaving |= statement.isLeaving;
    if (statement.cooldown)
        known.cooldownEnd = std::max(known.cooldownEnd, now + *statement.cooldown);
    known.recorded = now;
    if (isNew && m_known.size() > maxStatementEntries)
        evictOldest(now);
    return isNews;
}

void UpstreamStatements::evictOldest(Common::TimePoint now)
{
    auto isIdle = [&](const auto& each) { return each.second.cooldownEnd <= now; };
    std::erase_if(m_known, [&](const auto& each) { return isIdle(each) && !each.second.isLeaving; });
    while (m_known.size() > maxStatementEntries) {
        auto oldest = std::min_element(m_known.begin(), m_known.end(), [&](const auto& left, const auto& right) {
            return std::pair(!isIdle(left), left.second.recorded) < std::pair(!isIdle(right), right.second.recorded);
        });
        // An active cooldown is never evicted.
        if (!isIdle(*oldest))
            return;
        m_known.erase(oldest);
    }
}

bool UpstreamStatements::allowRequest(const UpstreamRecord& upstream, Common::TimePoint now) const
{
    const auto* known = m_known.empty() ? nullptr : find(upstream);
    return !known || (!known->isLeaving && known->cooldownEnd <= now);
}

bool UpstreamStatements::isLeaving(const UpstreamRecord& upstream) const
{
    const auto* known = find(upstream);
    return known && known->isLeaving;
}

std::optional<Common::TimePoint> UpstreamStatements::cooldownEnd(
    const UpstreamRecord& upstream, Common::TimePoint now) const
{
    const auto* known = find(upstream);
    if (!known || known->cooldownEnd <= now)
        return std::nullopt;
    return known->cooldownEnd;
}

size_t UpstreamStatements::cooldownCount(Common::TimePoint now) const
{
    return static_cast<size_t>(
        std::count_if(m_known.begin(), m_known.end(), [&](const auto& each) { return each.second.cooldownEnd > now; }));
}

} // namespace Brassladder::RouteServing::Routing
