// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Duties/UsageCursor.h"

#include <algorithm>

namespace Brassladder::RouteServing::Duties {

using namespace std::chrono_literals;

// Without an acknowledgement for so long, what was sent is lost. Chosen, not measured: five exchange intervals, as for
// the list of upstreams.
static constexpr Common::Milliseconds lostAfter = 500ms;

uint64_t UsageCursor::claim(uint64_t newest, Common::TimePoint now)
{
    bool isInFlight = m_sent > m_acknowledged;
    if (isInFlight && now - m_lastProgress >= lostAfter) {
        m_sent = m_acknowledged;
        isInFlight = false;
    }
    auto after = m_sent;
    if (newest > m_sent) {
        if (!isInFlight)
            m_lastProgress = now;
        m_sent = newest;
    }
    return after;
}

void UsageCursor::acknowledge(uint64_t revision, Common::TimePoint now)
{
    if (revision == m_acknowledged)
        return;
    m_lastProgress = now;
    bool wasStartedAgain = revision < m_acknowledged;
    m_acknowledged = revision;
    m_sent = wasStartedAgain ? revision : std::max(m_sent, revision);
}

} // namespace Brassladder::RouteServing::Duties
