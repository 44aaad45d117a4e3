// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>

namespace Brassladder::RouteServing::Routing {

// Counts the events of the current and the previous time slice, which cover the last 0.5 to 1 s. Not thread-safe.
class RecentCount {
public:
    void add(Common::TimePoint now)
    {
        auto slice = sliceOf(now);
        if (slice != m_slice) {
            m_last = slice == m_slice + 1 ? m_current : 0;
            m_current = 0;
            m_slice = slice;
        }
        ++m_current;
    }
    unsigned value(Common::TimePoint now) const
    {
        auto age = sliceOf(now) - m_slice;
        if (age == 0)
            return m_current + m_last;
        return age == 1 ? m_current : 0;
    }

private:
    static constexpr Common::Milliseconds sliceLength { 500 };
    static int64_t sliceOf(Common::TimePoint now) { return now.time_since_epoch() / sliceLength; }

    int64_t m_slice { 0 };
    unsigned m_current { 0 };
    unsigned m_last { 0 };
};

} // namespace Brassladder::RouteServing::Routing
