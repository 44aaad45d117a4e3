// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/AttemptOutcome.h"

namespace Brassladder::RouteServing::Routing {

// Outlier ejection: judges one upstream by the outcomes of real requests (no probes). After failures in a row it is
// ejected for a time that doubles up to a bound; then it gets requests again. Not safe for several threads.
class UpstreamHealth {
public:
    void record(AttemptOutcome, Common::TimePoint now);
    bool isEjected(Common::TimePoint now) const { return now < m_ejectedUntil; }
    // Exponentially weighted share of attempts that failed, 0 to 1; decays while there are none.
    double errorRate(Common::TimePoint now) const;

private:
    void eject(Common::TimePoint now);

    unsigned m_consecutiveFailures { 0 };
    Common::Milliseconds m_ejection { 0 }; // The last one's length; zero after a success.
    Common::TimePoint m_ejectedUntil {};
    Common::TimePoint m_lastAttempt {};
    double m_errorRate { 0 };
};

} // namespace Brassladder::RouteServing::Routing
