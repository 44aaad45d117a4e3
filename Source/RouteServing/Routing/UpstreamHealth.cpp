// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/UpstreamHealth.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Two failures in a row tell a fault from a single request's misfortune.
static constexpr unsigned failuresToLeaveOut = 2;
static constexpr Common::Milliseconds firstPause = 500ms;
static constexpr Common::Milliseconds longestPause = 8000ms;
// The weight of one try in the fading share: about the last seven tries count.
static constexpr double tryWeight = 0.15;
// Without tries, half of a bad name is forgotten in this time.
static constexpr double forgetSeconds = 4.0;

void UpstreamHealth::record(TryOutcome outcome, Common::TimePoint now)
{
    if (outcome == TryOutcome::Withdrawn || outcome == TryOutcome::Refused)
        return;
    bool failed = outcome != TryOutcome::Answered;
    m_errorRate = errorRate(now) * (1 - tryWeight) + (failed ? tryWeight : 0);
    m_lastTry = now;
    bool isFault = outcome == TryOutcome::Broken || outcome == TryOutcome::Unreachable;
    if (!isFault) {
        if (!failed) {
            m_consecutiveFailures = 0;
            m_pause = 0ms;
        }
        return;
    }
    // What was sent before it was left out tells nothing new.
    if (isEjected(now))
        return;
    ++m_consecutiveFailures;
    if (m_consecutiveFailures < failuresToLeaveOut && outcome != TryOutcome::Unreachable)
        return;
    m_pause = m_pause.count() ? std::min(longestPause, m_pause * 2) : firstPause;
    m_ejectedUntil = now + m_pause;
}

double UpstreamHealth::errorRate(Common::TimePoint now) const
{
    return m_errorRate * std::exp2(-Common::toSeconds(now - m_lastTry) / forgetSeconds);
}

} // namespace Brassladder::RouteServing::Routing
