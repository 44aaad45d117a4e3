// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/RefusalBackoff.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// The first back-off: in this time an upstream with six slots and calls of 15 ms has worked off a full queue. Chosen,
// not measured.
static constexpr Common::Milliseconds initialBackoff = 25ms;
// The bound of its doubling. With one second in its place a sixth of the engines that refused 95% for 20 s cost 0.008
// more of the day's worth (mean of three small sites, two seeds each): what they refuse has often used up its only
// attempt.
static constexpr Common::Milliseconds maxBackoff = 4000ms;
// On trial: how long after one request the next one may follow when the first is not refused, but has no response
// either; a refusal comes within a few milliseconds. Chosen, not measured.
static constexpr Common::Milliseconds trialInterval = 100ms;

void RefusalBackoff::recordRefusal(Common::TimePoint now)
{
    m_isOnTrial = true;
    // Requests that were under way at the refusal before tell nothing new.
    if (now < m_until)
        return;
    m_backoff = m_backoff.count() ? std::min(maxBackoff, m_backoff * 2) : initialBackoff;
    m_until = now + m_backoff;
}

void RefusalBackoff::recordCooldown()
{
    m_isOnTrial = true;
    // Requests from before the rest are no trial.
    m_lastStart = {};
}

void RefusalBackoff::recordResponse()
{
    m_isOnTrial = false;
    m_backoff /= 2;
    if (m_backoff < initialBackoff)
        m_backoff = 0ms;
}

bool RefusalBackoff::isBackedOff(Common::TimePoint now) const
{
    return now < m_until || (m_isOnTrial && now < m_lastStart + trialInterval);
}

} // namespace Brassladder::RouteServing::Routing
