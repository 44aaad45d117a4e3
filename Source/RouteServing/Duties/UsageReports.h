// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Duties/DutyRecord.h"
#include "RouteServing/Duties/UsageLedger.h"

#include <cstdint>
#include <map>

namespace Brassladder::RouteServing::Duties {

// When usage is due, from what the operators promise.
struct UsageTimes {
    Common::Milliseconds window { 0 }; // Length of a window of the wall clock.
    Common::Milliseconds delay { 0 }; // A window's report is due so long after its end.

    // The window of a moment, in milliseconds since the start of 1970.
    uint64_t windowAt(Common::Milliseconds wall) const { return static_cast<uint64_t>(wall / window); }
    Common::Milliseconds endOf(uint64_t index) const { return window * (static_cast<int64_t>(index) + 1); }
};

// Which usage window the holder of the duties writes or sends next. Windows are taken in order.
//
// Two reports of one window that differ must never be accepted, and a call without an answer may be carried out later.
// So the counts are written to the log first, under the lease, and every send by any holder repeats what is written.
//
// A window is written as soon as all routers say that it is final. Routers that do not, because they were killed or cut
// off, are waited for until shortly before the report is due, not longer: 31 of 88 routers cut off for 12 s come back
// in time for each window of 5 s that is due 10 s after its end. A window that no router counted whole is not sent: its
// counts would be guessed, and a missing report can be seen while a wrong one cannot.
//
// Pure. Not safe for several threads.
class UsageReports {
public:
    explicit UsageReports(UsageTimes times)
        : m_times(times)
    {
    }

    // A record of the log. The first one of a window stands.
    void recordWritten(const WindowRecord&);
    // Null when the counts of the window are not on the log.
    const WindowRecord* written(uint64_t window) const;

    enum class Step : uint8_t {
        Wait,
        Write, // Write the ledger's counts to the log.
        Send, // Send what is written.
        GiveUp, // The counts are not known, and will not be.
    };
    // `window`: the first one that was not accepted or given up. `wall`: milliseconds since the start of 1970.
    Step next(uint64_t window, const UsageLedger&, Common::Milliseconds wall) const;
    // The first window that can still be reported.
    static uint64_t firstReportableWindow(uint64_t open);

private:
    UsageTimes m_times;
    std::map<uint64_t, WindowRecord> m_written;
};

} // namespace Brassladder::RouteServing::Duties
