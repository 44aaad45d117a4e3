// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

// Tracks how long a router is left out of the ranking because it does not respond, or is not a store reader because it
// cannot read the store. Not thread-safe.
class PeerBackoff {
public:
    // Backoff after the first timeout. It doubles with each further timeout, up to 32 s, and is longer than most
    // freezes from which an instance recovers.
    static constexpr Common::Milliseconds initialBackoff { 2000 };
    // 2 s x 2^4 is 32 s.
    static constexpr unsigned maxDoublings = 4;

    // The router did not respond in time, or failed to read the store.
    void recordTimeout(Common::TimePoint now)
    {
        m_ignoredUntil = now + initialBackoff * (1U << std::min(m_timeouts, maxDoublings));
        ++m_timeouts;
    }
    // The router stated that it is stopping, or that it cannot read the store.
    void recordUnavailable(Common::TimePoint now) { m_ignoredUntil = now + initialBackoff; }
    // The router responded, has a new address, or can read the store.
    void recordResponse()
    {
        m_timeouts = 0;
        m_ignoredUntil = {};
    }
    // The router sent a message. It is running, but may still fail to respond, so the number of timeouts stays.
    void recordContact() { m_ignoredUntil = {}; }

    bool isIgnored(Common::TimePoint now) const { return now < m_ignoredUntil; }
    unsigned timeouts() const { return m_timeouts; } // Consecutive.

private:
    unsigned m_timeouts { 0 };
    Common::TimePoint m_ignoredUntil {};
};

} // namespace Brassladder::RouteServing::Routing
