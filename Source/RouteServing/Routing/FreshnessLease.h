// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <atomic>

namespace Brassladder::RouteServing::Routing {

// Says whether the configuration in force was confirmed recently enough to serve requests that show a key. A key may be
// withdrawn at any moment, so a router that cannot read the configuration must stop using keys within a bound.
//
// The lease runs from the *start* of the last successful reading: what was accepted before that moment is in force. It
// is measured on the monotonic clock, which goes on while the process is stopped. Safe to use from several threads.
class FreshnessLease {
public:
    // `bound`: how old the last confirmation may be. Zero: the lease never lapses.
    explicit FreshnessLease(Common::Milliseconds bound)
        : m_bound(bound)
    {
    }

    void confirm(Common::TimePoint readingStarted)
    {
        auto ticks = readingStarted.time_since_epoch().count();
        auto known = m_confirmed.load(std::memory_order_relaxed);
        while (ticks > known && !m_confirmed.compare_exchange_weak(known, ticks, std::memory_order_relaxed)) { }
    }

    bool isFresh(Common::TimePoint now) const { return m_bound.count() == 0 || now < confirmed() + m_bound; }
    Common::Milliseconds age(Common::TimePoint now) const { return Common::toMilliseconds(now - confirmed()); }

private:
    Common::TimePoint confirmed() const
    {
        return Common::TimePoint(Common::Duration(m_confirmed.load(std::memory_order_relaxed)));
    }

    Common::Milliseconds m_bound;
    std::atomic<Common::Duration::rep> m_confirmed { 0 };
};

} // namespace Brassladder::RouteServing::Routing
