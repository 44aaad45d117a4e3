// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

// For how long a router that does not respond is left out of the ranking of hubs. Not safe for several threads.
class HubBackoff {
public:
    // Initial backoff before an unresponsive hub is asked again; doubles on each failure, up to 32 s. Chosen, not
    // measured: above the longest freeze from which instances usually come back.
    static constexpr Common::Milliseconds initialBackoff { 2000 };
    // 2 s x 2^4 is 32 s.
    static constexpr unsigned maxDoublings = 4;

    // It did not respond in time.
    void recordTimeout(Common::TimePoint now)
    {
        m_ignoredUntil = now + initialBackoff * (1U << std::min(m_timeouts, maxDoublings));
        ++m_timeouts;
    }
    // It said that it is stopping.
    void recordLeaving(Common::TimePoint now) { m_ignoredUntil = now + initialBackoff; }
    // It responded, or has a new address.
    void recordResponse()
    {
        m_timeouts = 0;
        m_ignoredUntil = {};
    }
    // It sent a request: it is alive, though it may still not respond.
    void recordRequest() { m_ignoredUntil = {}; }

    bool isIgnored(Common::TimePoint now) const { return now < m_ignoredUntil; }
    unsigned timeouts() const { return m_timeouts; } // In a row.

private:
    unsigned m_timeouts { 0 };
    Common::TimePoint m_ignoredUntil {};
};

} // namespace Brassladder::RouteServing::Routing
