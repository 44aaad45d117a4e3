// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

namespace Brassladder::RouteServing::Routing {

// Backoff for one upstream that refuses requests. A refusal takes about a millisecond, so a refusing upstream has the
// fewest outstanding requests and would attract load. Each refusal in a row doubles the backoff up to a bound; each
// response halves it.
//
// After a refusal or a cooldown the upstream is on trial: until it responds, it gets one request per interval while
// others are available. Not thread-safe.
class RefusalBackoff {
public:
    // The upstream refused a request without starting a cooldown.
    void recordRefusal(Common::TimePoint now);
    // The upstream started a cooldown. UpstreamStatements stores its end.
    void recordCooldown();
    // A request is about to be sent to the upstream.
    void recordStart(Common::TimePoint now) { m_lastStart = now; }
    // A response has begun that is not a refusal.
    void recordResponse();

    // Returns whether other upstreams are preferred now. Like an ejection this is a heuristic: the upstream is still
    // used if no other is left.
    bool isBackedOff(Common::TimePoint now) const;

private:
    Common::Milliseconds m_backoff { 0 };
    Common::TimePoint m_until {};
    Common::TimePoint m_lastStart {};
    bool m_isOnTrial { false }; // No response since the last refusal or cooldown.
};

} // namespace Brassladder::RouteServing::Routing
