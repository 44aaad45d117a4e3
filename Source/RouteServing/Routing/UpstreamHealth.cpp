// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/UpstreamHealth.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Number of consecutive failures that eject an upstream. A single failed connection attempt also ejects it.
// A single interrupted attempt may be chance.
static constexpr unsigned failuresToEject = 2;
// Length of the first ejection, and the upper bound of the doubling.
static constexpr Common::Milliseconds initialEjection = 500ms;
static constexpr Common::Milliseconds maxEjection = 8000ms;
// Weight of the newest attempt in the error rate.
// About the last seven attempts count.
static constexpr double newestAttemptWeight = 0.15;
// Half-life of the error rate while there are no attempts.
static constexpr double errorRateHalfLifeSeconds = 4.0;

void UpstreamHealth::record(AttemptOutcome outcome, Common::TimePoint now)
{
    // Withheld and cancelled attempts are no evidence of health or failure. Refusals (NotExecuted) are handled by
    // RefusalBackoff.
    bool isInconclusive = outcome == AttemptOutcome::CancelledBeforeSending || outcome == AttemptOutcome::Withheld
        || outcome == AttemptOutcome::CancelledAfterSending || outcome == AttemptOutcome::NotExecuted;
    if (isInconclusive)
        return;
    bool hasFailed = outcome != AttemptOutcome::Answered;
    m_errorRate = errorRate(now) * (1 - newestAttemptWeight) + (hasFailed ? newestAttemptWeight : 0);
    m_lastAttempt = now;
    if (!hasFailed) {
        m_consecutiveFailures = 0;
        m_ejection = 0ms;
        return;
    }
    // A 5xx response counts towards the error rate only, because the upstream is reachable and responds.
    if (outcome == AttemptOutcome::ServerError)
        return;
    // Failures during an ejection do not extend it: most belong to attempts that were already in flight.
    if (isEjected(now))
        return;
    ++m_consecutiveFailures;
    if (m_consecutiveFailures >= failuresToEject || outcome == AttemptOutcome::ConnectFailed)
        eject(now);
}

void UpstreamHealth::eject(Common::TimePoint now)
{
    m_ejection = m_ejection.count() ? std::min(maxEjection, m_ejection * 2) : initialEjection;
    m_ejectedUntil = now + m_ejection;
}

double UpstreamHealth::errorRate(Common::TimePoint now) const
{
    return m_errorRate * std::exp2(-Common::toSeconds(now - m_lastAttempt) / errorRateHalfLifeSeconds);
}

} // namespace Brassladder::RouteServing::Routing
