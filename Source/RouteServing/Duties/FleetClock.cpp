// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Duties/FleetClock.h"

#include <algorithm>
#include <vector>

namespace Brassladder::RouteServing::Duties {

using Common::Milliseconds;
using Common::TimePoint;
using namespace std::chrono_literals;

// Smaller differences between system time and own time, for example drift, are not treated as jumps.
static constexpr Milliseconds jumpThreshold = 50ms;
// A jump that persists for this long is adopted as a correction.
// Jumps that are reverted last seconds.
static constexpr Milliseconds jumpConfirmationTime = 60'000ms;
// A time received from another router expires after this long.
static constexpr Milliseconds maxOffsetAge = 5000ms;

static Milliseconds sinceEpoch(TimePoint now) { return Common::toMilliseconds(now.time_since_epoch()); }

FleetClock::FleetClock(Milliseconds system, TimePoint now)
    : m_ownOffset(system - sinceEpoch(now))
{
}

void FleetClock::observeSystem(Milliseconds system, TimePoint now)
{
    auto offset = system - sinceEpoch(now);
    bool differs = std::chrono::abs(offset - m_ownOffset) > jumpThreshold;
    if (differs && !m_hasJumped)
        m_jumpedSince = now;
    m_hasJumped = differs;
    if (!differs || now - m_jumpedSince < jumpConfirmationTime)
        return;
    m_ownOffset = offset;
    m_hasJumped = false;
}

void FleetClock::recordSubscriberTime(const std::string& id, Milliseconds time, TimePoint now)
{
    std::erase_if(m_subscribers, [&](const auto& entry) { return now - entry.second.at >= maxOffsetAge; });
    m_subscribers[id] = { time - this->ownTime(now), now };
}

void FleetClock::recordHubTime(Milliseconds time, TimePoint sent, TimePoint now)
{
    m_hub = { time - ownTime(sent + (now - sent) / 2), now };
    m_hasHub = true;
}

Milliseconds FleetClock::ownTime(TimePoint now) const { return sinceEpoch(now) + m_ownOffset; }

Milliseconds FleetClock::agreedTime(TimePoint now) const
{
    if (m_hasHub && now - m_hub.at < maxOffsetAge)
        return ownTime(now) + m_hub.fromOwn;
    std::vector<Milliseconds> differences { 0ms };
    for (const auto& [id, difference] : m_subscribers) {
        if (now - difference.at < maxOffsetAge)
            differences.push_back(difference.fromOwn);
    }
    auto middle = differences.begin() + static_cast<ptrdiff_t>(differences.size() / 2);
    std::nth_element(differences.begin(), middle, differences.end());
    return ownTime(now) + *middle;
}

} // namespace Brassladder::RouteServing::Duties
