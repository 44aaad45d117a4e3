// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <map>
#include <string>

namespace Brassladder::RouteServing::Duties {

// The time of day that the routers of a fleet agree on, in milliseconds since the start of 1970.
//
// Usage windows are spans of the wall clock, and the time of day of single instances may jump by seconds and back. Each
// router takes the time of day at its start and goes on by the monotonic clock; it follows a jump only when it lasts.
// That is its own time. A hub takes the middle one of its own and its subscribers' times, and tells them; a
// subscriber uses what its hub says. So one whose clock was wrong at its start is corrected as soon as it is in touch
// with others. Not safe for several threads.
class FleetClock {
public:
    // `system`: the instance's time of day now.
    FleetClock(Common::Milliseconds system, Common::TimePoint now);

    // To be called regularly.
    void observeSystem(Common::Milliseconds system, Common::TimePoint now);
    // A subscriber has sent its own time.
    void recordSubscriber(const std::string& id, Common::Milliseconds own, Common::TimePoint now);
    // The hub has sent the agreed time; `sent` and `now`: of the request and of the response.
    void recordHub(Common::Milliseconds agreed, Common::TimePoint sent, Common::TimePoint now);

    Common::Milliseconds own(Common::TimePoint now) const;
    Common::Milliseconds agreed(Common::TimePoint now) const;

private:
    struct ClockOffset {
        Common::Milliseconds fromOwn { 0 };
        Common::TimePoint at {};
    };

    Common::Milliseconds m_ownOffset; // Of the time of day to the monotonic clock.
    std::map<std::string, ClockOffset> m_subscribers;
    ClockOffset m_hub;
    Common::TimePoint m_jumpedSince {};
    bool m_hasJumped { false };
    bool m_hasHub { false };
};

} // namespace Brassladder::RouteServing::Duties
