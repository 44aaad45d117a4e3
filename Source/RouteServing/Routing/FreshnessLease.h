// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <atomic>

namespace Brassladder::RouteServing::Routing {

// Whether the configuration in force was confirmed recently enough to serve requests that show a key. A key may be
// withdrawn at any time, so a router that cannot read the configuration must stop using keys within a bound.
//
// The lease runs from the *start* of the last successful read: what was accepted before that moment is in force. It is
// measured on the monotonic clock, which goes on while the process is stopped. Safe to use from several threads.
class FreshnessLease {
public:
    // `duration`: how old the last confirmation may be. Zero: the lease never expires.
    explicit FreshnessLease(Common::Milliseconds duration)
        : m_duration(duration)
    {
    }

    // The lease for a bound after which a withdrawn key must not be used: it expires earlier by 5%, for the time that a
    // request takes from the check to the upstream. The margin was chosen, not measured.
    static Common::Milliseconds durationWithin(Common::Milliseconds bound) { return bound - bound / marginDivisor; }

    void confirm(Common::TimePoint readingStarted)
    {
        auto ticks = readingStarted.time_since_epoch().count();
        auto known = m_confirmed.load(std::memory_order_relaxed);
        while (ticks > known && !m_confirmed.compare_exchange_weak(known, ticks, std::memory_order_relaxed)) { }
    }

    bool isFresh(Common::TimePoint now) const { return m_duration.count() == 0 || now < confirmed() + m_duration; }
    // Whether there ever was a confirmation.
    bool isConfirmed() const { return confirmed() > Common::TimePoint {}; }
    // Since the last confirmation; the longest there is when there was none.
    Common::Milliseconds age(Common::TimePoint now) const
    {
        return isConfirmed() ? Common::toMilliseconds(now - confirmed()) : Common::Milliseconds::max();
    }

private:
    Common::TimePoint confirmed() const
    {
        return Common::TimePoint(Common::Duration(m_confirmed.load(std::memory_order_relaxed)));
    }

    // 5% of the bound, see durationWithin.
    static constexpr int marginDivisor = 20;

    Common::Milliseconds m_duration;
    std::atomic<Common::Duration::rep> m_confirmed { 0 };
};

} // namespace Brassladder::RouteServing::Routing
