// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/RefusalBackoff.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Length of the first backoff, and the upper bound of the doubling.
// An upstream with six slots and calls of 15 ms clears a full queue within the first one.
static constexpr Common::Milliseconds initialBackoff = 25ms;
// With one second, days on which a sixth of the engines refuse 95% of the requests lost 0.008 more of their value,
// because a refused request has often used up its only attempt.
static constexpr Common::Milliseconds maxBackoff = 4000ms;
// A half-open upstream may receive the next request this long after the previous one if that was neither refused nor
// answered. Longer than a refusal takes.
static constexpr Common::Milliseconds trialInterval = 100ms;

void RefusalBackoff::recordRefusal(Common::TimePoint now)
{
    m_isHalfOpen = true;
    // Refusals during a backoff do not extend it: most belong to requests that were already in flight.
    if (now < m_until)
        return;
    m_backoff = m_backoff.count() ? std::min(maxBackoff, m_backoff * 2) : initialBackoff;
    m_until = now + m_backoff;
}

void RefusalBackoff::recordCooldown()
{
    m_isHalfOpen = true;
    // Requests that were sent before the cooldown do not count as trial requests.
    m_lastStart = {};
}

void RefusalBackoff::recordResponse()
{
    m_isHalfOpen = false;
    m_backoff /= 2;
    if (m_backoff < initialBackoff)
        m_backoff = 0ms;
}

bool RefusalBackoff::isBackedOff(Common::TimePoint now) const
{
    return now < m_until || (m_isHalfOpen && now < m_lastStart + trialInterval);
}

} // namespace Brassladder::RouteServing::Routing
