// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/AttemptOutcome.h"

namespace Brassladder::RouteServing::Routing {

// Implements outlier ejection for one upstream, based on the outcomes of regular requests, without probes. Consecutive
// failures eject the upstream. The period doubles with each ejection, up to a bound. A success resets the period and
// the failure count, but does not end an ejection early. Not thread-safe.
class UpstreamHealth {
public:
    void record(AttemptOutcome, Common::TimePoint now);
    bool isEjected(Common::TimePoint now) const { return now < m_ejectedUntil; }
    // Exponentially weighted share of failed attempts, 0 to 1. Decays while there are no attempts.
    double errorRate(Common::TimePoint now) const;

private:
    void eject(Common::TimePoint now);

    unsigned m_consecutiveFailures { 0 };
    Common::Milliseconds m_ejection { 0 }; // Length of the last ejection; zero after a success.
    Common::TimePoint m_ejectedUntil {};
    Common::TimePoint m_lastAttempt {};
    double m_errorRate { 0 };
};

} // namespace Brassladder::RouteServing::Routing
