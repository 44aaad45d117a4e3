// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/LoadSums.h"

namespace Brassladder::RouteServing::Routing {

void LoadSums::record(const std::string& sender, LoadsByUpstream loads, unsigned routers, Common::TimePoint now)
{
    m_reports.insert_or_assign(sender, Report { std::move(loads), routers, now });
}

void LoadSums::forget(std::string_view sender)
{
    if (auto found = m_reports.find(sender); found != m_reports.end())
        m_reports.erase(found);
}

bool LoadSums::isRecent(const Report& report, Common::TimePoint now) const { return now - report.at < m_maxAge; }

LoadsByUpstream LoadSums::sumExcluding(std::string_view excluded, Common::TimePoint now) const
{
    LoadsByUpstream sum;
    for (const auto& [sender, report] : m_reports) {
        if (sender != excluded && isRecent(report, now))
            addLoads(sum, report.loads);
    }
    return sum;
}

unsigned LoadSums::routers(Common::TimePoint now) const
{
    unsigned count = 0;
    for (const auto& [sender, report] : m_reports)
        count += isRecent(report, now) ? report.routers : 0;
    return count;
}

} // namespace Brassladder::RouteServing::Routing
