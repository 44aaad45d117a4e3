// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Duties/UsageReports.h"

#include <algorithm>

namespace Brassladder::RouteServing::Duties {

using Common::Milliseconds;
using namespace std::chrono_literals;

// Time until the counts of a router have reached the holder through its hub and a store reader.
// Each step takes at most one exchange interval (100 ms).
static constexpr Milliseconds countPropagationTime = 500ms;
// Time before the due time that is reserved to append the counts and send the report.
// Leaves time for a second attempt: a call takes some milliseconds, or one second without a response.
static constexpr Milliseconds reportLeadTime = 1200ms;

void UsageReports::recordWritten(const WindowRecord& record)
{
    m_written.emplace(record.window, record);
    while (m_written.size() > maxLoggedWindows)
        m_written.erase(m_written.begin());
}

const WindowRecord* UsageReports::written(uint64_t window) const
{
    auto found = m_written.find(window);
    return found == m_written.end() ? nullptr : &found->second;
}

UsageReports::Step UsageReports::next(uint64_t window, const UsageLedger& ledger, Milliseconds wall) const
{
    auto end = m_times.endOf(window);
    if (wall < end + countPropagationTime)
        return Step::Wait;
    if (written(window))
        return Step::Send;
    bool isFullyCounted = ledger.isFullyCounted(window);
    if (isFullyCounted && ledger.isFinal(window))
        return Step::Append;
    if (wall < end + m_times.delay - reportLeadTime)
        return Step::Wait;
    return isFullyCounted ? Step::Append : Step::GiveUp;
}

uint64_t UsageReports::firstReportableWindow(uint64_t openWindow)
{
    return openWindow - std::min(openWindow, UsageLedger::retainedWindows - 1);
}

} // namespace Brassladder::RouteServing::Duties
