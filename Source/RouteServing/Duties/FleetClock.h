// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <map>
#include <string>

namespace Brassladder::RouteServing::Duties {

// The wall-clock time that the routers of a fleet agree on, in Unix milliseconds.
//
// Usage windows are spans of wall-clock time, but the system clock of a single instance may jump temporarily. A
// router's own time starts at the system time and advances with the monotonic clock; a jump of the system clock is
// adopted only if it persists. The agreed time of a hub is the median of its own time and its subscribers' own times;
// the agreed time of a subscriber is that of its hub. This corrects a router whose clock was wrong at its start. Not
// thread-safe.
class FleetClock {
public:
    // `system`: the current system time of the instance.
    FleetClock(Common::Milliseconds system, Common::TimePoint now);

    // Adopts a persistent jump of the system clock. Must be called regularly.
    void observeSystem(Common::Milliseconds system, Common::TimePoint now);
    // Records the own time of a subscriber.
    void recordSubscriberTime(const std::string& id, Common::Milliseconds time, Common::TimePoint now);
    // Records the agreed time from the hub. `sent`, `now`: times of the request and of the response.
    void recordHubTime(Common::Milliseconds time, Common::TimePoint sent, Common::TimePoint now);

    Common::Milliseconds ownTime(Common::TimePoint now) const;
    Common::Milliseconds agreedTime(Common::TimePoint now) const;

private:
    struct ClockOffset {
        Common::Milliseconds fromOwn { 0 };
        Common::TimePoint at {};
    };

    Common::Milliseconds m_ownOffset; // Own time minus monotonic time.
    std::map<std::string, ClockOffset> m_subscribers;
    ClockOffset m_hub;
    Common::TimePoint m_jumpedSince {};
    bool m_hasJumped { false };
    bool m_hasHub { false };
};

} // namespace Brassladder::RouteServing::Duties
