// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <algorithm>

namespace Brassladder::RouteServing::Gateway {

// Arrival times of the events of one stream, for the log line at the end of its request. Not thread-safe.
class StreamTimes {
public:
    explicit StreamTimes(Common::TimePoint requestArrived)
        : m_requestArrived(requestArrived)
    {
    }

    // Records a read that returned whole events.
    void recordEvents(Common::TimePoint now)
    {
        if (m_hasEvents)
            m_longestPause = std::max(m_longestPause, Common::toMilliseconds(now - m_last));
        else
            m_firstEvent = Common::toMilliseconds(now - m_requestArrived);
        m_hasEvents = true;
        m_last = now;
    }

    bool hasEvents() const { return m_hasEvents; }
    Common::Milliseconds firstEvent() const { return m_firstEvent; } // Since the request's arrival.
    Common::Milliseconds longestPause() const { return m_longestPause; } // Between two reads that returned events.

private:
    Common::TimePoint m_requestArrived;
    Common::TimePoint m_last {};
    bool m_hasEvents { false };
    Common::Milliseconds m_firstEvent { 0 };
    Common::Milliseconds m_longestPause { 0 };
};

} // namespace Brassladder::RouteServing::Gateway
