// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Duties/DutyRecord.h"
#include "RouteServing/Duties/UsageLedger.h"

#include <cstdint>
#include <map>

namespace Brassladder::RouteServing::Duties {

// When usage reports are due.
struct UsageTimes {
    Common::Milliseconds window { 0 }; // Length of a usage window in wall-clock time.
    Common::Milliseconds delay { 0 }; // Time from the end of a window until its report is due.

    // Returns the window that contains a wall-clock time in Unix milliseconds.
    uint64_t windowAt(Common::Milliseconds wall) const { return static_cast<uint64_t>(wall / window); }
    Common::Milliseconds endOf(uint64_t index) const { return window * (static_cast<int64_t>(index) + 1); }
};

// Decides which usage window the holder of the duties appends or sends next. Windows are handled in order.
//
// The platform must never accept two different reports of one window, and a call without a response may be executed
// later. The holder therefore first appends the counts to the log, under the lease, and every holder sends the logged
// counts.
//
// The counts of a window are appended when all routers have finished it, or shortly before the report is due if some
// routers were killed or are unreachable. If no router counted the window from start to end, no report is sent, because
// a missing report is detectable and a wrong one is not.
//
// No I/O. Not thread-safe.
class UsageReports {
public:
    explicit UsageReports(UsageTimes times)
        : m_times(times)
    {
    }

    // Adds a record of the log. The first record of a window is authoritative.
    void recordWritten(const WindowRecord&);
    // Returns nullptr if the log has no counts of the window.
    const WindowRecord* written(uint64_t window) const;

    enum class Step : uint8_t {
        Wait,
        Append, // Append the ledger's counts to the log.
        Send, // Send the logged counts.
        GiveUp, // Send no report: the counts are incomplete, and no time is left to complete them.
    };
    // `window`: the first window whose report is outstanding. `wall`: agreed wall-clock time in Unix milliseconds.
    Step next(uint64_t window, const UsageLedger&, Common::Milliseconds wall) const;
    // Returns the first window that can still be reported.
    static uint64_t firstReportableWindow(uint64_t openWindow);

private:
    UsageTimes m_times;
    std::map<uint64_t, WindowRecord> m_written;
};

} // namespace Brassladder::RouteServing::Duties
