// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/Roster.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Time after which an unacknowledged part of the roster is sent again: five exchange intervals.
static constexpr Common::Milliseconds partLostAfter = 500ms;

void RosterPosition::advance(uint64_t process, uint64_t after, uint64_t to)
{
    auto known = revisionOf(process);
    if (after > known)
        return;
    incarnation = process;
    revision = std::max(known, to);
}

uint64_t RosterCursor::beginSend(uint64_t acknowledged, uint64_t newest, Common::TimePoint now)
{
    bool isInFlight = m_at && now - *m_at < partLostAfter;
    auto after = isInFlight ? std::max(acknowledged, m_sent) : acknowledged;
    if (after < newest) {
        m_sent = newest;
        m_at = now;
    }
    return std::min(after, newest);
}

} // namespace Brassladder::RouteServing::Routing
