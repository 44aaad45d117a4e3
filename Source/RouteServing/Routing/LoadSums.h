// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Upstream.h"

#include <map>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Routing {

// Sums the newest reports of other routers. Ignores reports older than `maxAge`, because their sender may have ended.
// `addLoads(Table&, const Table&)` adds two tables. Not thread-safe.
template <typename Table> class ReportSums {
public:
    explicit ReportSums(Common::Milliseconds maxAge)
        : m_maxAge(maxAge)
    {
    }

    // Replaces the sender's last report. `routers` is the number of routers that the report covers.
    void record(const std::string& sender, Table table, unsigned routers, Common::TimePoint now)
    {
        m_reports.insert_or_assign(sender, Report { std::move(table), routers, now });
    }

    // Replaces rows of the sender's last report, whose age does not change. Ignored without a report.
    void update(std::string_view sender, const Table& rows)
    {
        auto found = m_reports.find(sender);
        if (found == m_reports.end())
            return;
        for (const auto& [key, row] : rows)
            found->second.table.insert_or_assign(key, row);
    }

    void forget(std::string_view sender)
    {
        if (auto found = m_reports.find(sender); found != m_reports.end())
            m_reports.erase(found);
    }

    // Returns the sum over all senders except `excluded`.
    Table sumExcluding(std::string_view excluded, Common::TimePoint now) const
    {
        return sumExcluding(excluded, now, [](const Table& table) -> const Table& { return table; });
    }
    // Returns the sum of the parts that `select` returns of the tables.
    template <typename Select>
    Table sumExcluding(std::string_view excluded, Common::TimePoint now, const Select& select) const
    {
        Table sum;
        for (const auto& [sender, report] : m_reports) {
            if (sender != excluded && isRecent(report, now))
                addLoads(sum, select(report.table));
        }
        return sum;
    }

    // Returns how many routers the recent reports cover in total.
    unsigned routers(Common::TimePoint now) const
    {
        unsigned count = 0;
        for (const auto& [sender, report] : m_reports)
            count += isRecent(report, now) ? report.routers : 0;
        return count;
    }

private:
    struct Report {
        Table table;
        unsigned routers { 1 };
        Common::TimePoint at {};
    };
    bool isRecent(const Report& report, Common::TimePoint now) const { return now - report.at < m_maxAge; }

    Common::Milliseconds m_maxAge;
    std::map<std::string, Report, std::less<>> m_reports; // By sender.
};

using LoadSums = ReportSums<LoadsByUpstream>;

} // namespace Brassladder::RouteServing::Routing
