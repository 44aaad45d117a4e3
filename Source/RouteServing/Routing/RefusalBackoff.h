// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

namespace Brassladder::RouteServing::Routing {

// For how long one upstream that turns requests away gets none from this router, and how it gets them again.
//
// A refusal takes about a millisecond, so an upstream that refuses has the fewest requests outstanding, and placement
// by load prefers it: two engines of twelve that refused nearly all took the place of the ten others. Each refusal in a
// row doubles the time, each response halves it, so that an upstream that is full for a moment is back soon, and one
// that refuses nearly everything gets about one request in four seconds.
//
// After a refusal or a rest others go first again after one request, until it has a response. Where all upstreams had
// rested for a second, 0.0, 7.1 and 8.1 in 100 requests were refused again at 6, 88 and 300 routers, 0.3, 9.0 and 10.3
// without it, and as many were in time but for noise (94.80, 79.53, 79.98 for 94.66, 80.85, 81.03; the benchmark
// rest-return). Not safe for several threads.
class RefusalBackoff {
public:
    // It refused a request, without asking for rest.
    void recordRefusal(Common::TimePoint now);
    // It asked for rest, whose end is kept elsewhere (UpstreamStatements).
    void recordCooldown();
    // A request goes there.
    void recordStart(Common::TimePoint now) { m_lastStart = now; }
    // It did not refuse a request: the response has begun.
    void recordResponse();

    // Whether others go first now. A guess, like an ejection: when no other is left, it is used all the same.
    bool isBackedOff(Common::TimePoint now) const;

private:
    Common::Milliseconds m_backoff { 0 };
    Common::TimePoint m_until {};
    Common::TimePoint m_lastStart {};
    bool m_isOnTrial { false }; // Since the last refusal or rest there was no response.
};

} // namespace Brassladder::RouteServing::Routing
