// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

// Tracks how long a router that does not respond is left out of the ranking of hubs. Not thread-safe.
class HubBackoff {
public:
    // Backoff before an unresponsive hub is used again; doubles with each timeout, up to 32 s. Longer than most freezes
    // from which an instance recovers.
    static constexpr Common::Milliseconds initialBackoff { 2000 };
    // 2 s x 2^4 is 32 s.
    static constexpr unsigned maxDoublings = 4;

    // The router did not respond in time.
    void recordTimeout(Common::TimePoint now)
    {
        m_ignoredUntil = now + initialBackoff * (1U << std::min(m_timeouts, maxDoublings));
        ++m_timeouts;
    }
    // The router stated that it is stopping.
    void recordLeaving(Common::TimePoint now) { m_ignoredUntil = now + initialBackoff; }
    // The router responded, or has a new address.
    void recordResponse()
    {
        m_timeouts = 0;
        m_ignoredUntil = {};
    }
    // The router sent a request. It is alive, but may still not respond.
    void recordRequest() { m_ignoredUntil = {}; }

    bool isIgnored(Common::TimePoint now) const { return now < m_ignoredUntil; }
    unsigned timeouts() const { return m_timeouts; } // Consecutive.

private:
    unsigned m_timeouts { 0 };
    Common::TimePoint m_ignoredUntil {};
};

} // namespace Brassladder::RouteServing::Routing
