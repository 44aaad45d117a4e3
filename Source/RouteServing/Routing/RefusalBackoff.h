// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

namespace Brassladder::RouteServing::Routing {

// Implements exponential backoff for one upstream that refuses requests. Refusals are fast, so a refusing upstream has
// the fewest outstanding requests, and placement by load would prefer it. Each refusal after the end of a backoff
// doubles its length, up to a bound; each response halves it.
//
// After a refusal or a cooldown the upstream is half-open: until it responds, it receives at most one request per
// `trialInterval` while other upstreams are available. Not thread-safe.
class RefusalBackoff {
public:
    // Records that the upstream refused a request without starting a cooldown.
    void recordRefusal(Common::TimePoint now);
    // Records that the upstream started a cooldown. UpstreamStatements stores its end.
    void recordCooldown();
    // Records that a request is about to be sent to the upstream.
    void recordStart(Common::TimePoint now) { m_lastStart = now; }
    // Records that a response has begun that is not a refusal.
    void recordResponse();

    // Returns whether other upstreams are preferred now. Like an ejection this is a heuristic: the upstream is still
    // used if no other is left.
    bool isBackedOff(Common::TimePoint now) const;

private:
    Common::Milliseconds m_backoff { 0 };
    Common::TimePoint m_until {};
    Common::TimePoint m_lastStart {};
    bool m_isHalfOpen { false }; // No response since the last refusal or cooldown.
};

} // namespace Brassladder::RouteServing::Routing
