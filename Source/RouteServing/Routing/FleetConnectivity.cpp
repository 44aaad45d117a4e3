// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/FleetConnectivity.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// How long a peak is remembered: longer than the expected network partitions (up to 12 s). After this time, a fleet
// that has lost half of its routers counts as complete again.
static constexpr Common::Milliseconds peakRetention = 15'000ms;

void FleetConnectivity::record(unsigned otherRouters, Common::TimePoint now)
{
    m_otherRouters = otherRouters;
    while (!m_peaks.empty() && m_peaks.back().otherRouters <= otherRouters)
        m_peaks.pop_back();
    m_peaks.push_back({ now, otherRouters });
    while (now - m_peaks.front().at > peakRetention)
        m_peaks.pop_front();
}

bool FleetConnectivity::isPartitioned(Common::TimePoint now) const
{
    if (m_peaks.empty() || now - m_peaks.front().at > peakRetention)
        return false;
    return 2 * m_otherRouters < m_peaks.front().otherRouters;
}

double FleetConnectivity::reachableShare(Common::TimePoint now) const
{
    if (m_peaks.empty() || now - m_peaks.front().at > peakRetention)
        return 1;
    return (1.0 + m_otherRouters) / (1.0 + m_peaks.front().otherRouters);
}

double FleetConnectivity::unreachableLoadFactor(Common::TimePoint now) const
{
    constexpr double most = 2;
    return std::min(most, 1 / reachableShare(now));
}

} // namespace Brassladder::RouteServing::Routing
