// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <atomic>

namespace Brassladder::RouteServing::Routing {

// Tracks whether the current configuration was confirmed recently enough to serve requests that carry a key. A key may
// be revoked at any time, so a router that cannot read the configuration must refuse such requests after a bound.
//
// The lease runs from the *start* of the last successful read, because only changes that were accepted before that
// moment are certain to be included. It uses the monotonic clock, which continues while the process is stopped.
// Thread-safe.
class FreshnessLease {
public:
    // `duration` is the maximum age of the last confirmation. If it is zero, the lease never expires.
    explicit FreshnessLease(Common::Milliseconds duration)
        : m_duration(duration)
    {
    }

    // Returns the lease duration for `bound`, the time after which a revoked key must not be used. The duration is 5%
    // shorter, to cover the time from the check until the request reaches the upstream.
    static Common::Milliseconds durationWithin(Common::Milliseconds bound) { return bound - bound / marginDivisor; }

    void confirm(Common::TimePoint readingStarted)
    {
        auto ticks = readingStarted.time_since_epoch().count();
        auto known = m_confirmed.load(std::memory_order_relaxed);
        while (ticks > known && !m_confirmed.compare_exchange_weak(known, ticks, std::memory_order_relaxed)) { }
    }

    bool isFresh(Common::TimePoint now) const { return m_duration.count() == 0 || now < confirmed() + m_duration; }
    // Whether there was ever a confirmation.
    bool isConfirmed() const { return confirmed() > Common::TimePoint {}; }
    // Returns the time since the last confirmation, or the maximum if there was none.
    Common::Milliseconds age(Common::TimePoint now) const
    {
        return isConfirmed() ? Common::toMilliseconds(now - confirmed()) : Common::Milliseconds::max();
    }

private:
    Common::TimePoint confirmed() const
    {
        return Common::TimePoint(Common::Duration(m_confirmed.load(std::memory_order_relaxed)));
    }

    // 5% of the bound; see durationWithin().
    static constexpr int marginDivisor = 20;

    Common::Milliseconds m_duration;
    std::atomic<Common::Duration::rep> m_confirmed { 0 };
};

} // namespace Brassladder::RouteServing::Routing
