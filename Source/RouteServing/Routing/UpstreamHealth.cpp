// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/UpstreamHealth.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// All chosen, not measured. A single broken attempt may be bad luck; two in a row are taken for a fault. A connection
// that cannot be made ejects at once.
static constexpr unsigned failuresToEject = 2;
// The first ejection, and the bound of its doubling.
static constexpr Common::Milliseconds initialEjection = 500ms;
static constexpr Common::Milliseconds maxEjection = 8000ms;
// Weight of the newest attempt in the error rate: about the last seven attempts count.
static constexpr double newestAttemptWeight = 0.15;
// Without attempts, half of the error rate is forgotten in this time.
static constexpr double errorRateHalfLifeSeconds = 4.0;

void UpstreamHealth::record(AttemptOutcome outcome, Common::TimePoint now)
{
    // Refusals are RefusalBackoff's.
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
    // A 5xx response counts for the error rate only: the upstream is there and answers.
    if (outcome == AttemptOutcome::ServerError)
        return;
    // Attempts that were under way when it was ejected say nothing new.
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
