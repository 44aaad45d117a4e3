// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/StartPhase.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

StartPhase::StartPhase(Settings settings, Common::TimePoint started, double jitter)
    : m_seeds(std::move(settings.seeds))
    , m_isFirstStart(settings.isFirstStart)
    , m_started(started)
    , m_rosterDeadline(
          started + rosterTimeout + std::chrono::duration_cast<Common::Milliseconds>(rosterTimeoutJitter * jitter))
    // Spreads the starting routers over the seeds.
    , m_seedIndex(static_cast<size_t>(jitter * static_cast<double>(m_seeds.size())))
{
}

void StartPhase::setOwnEndpoint(const Common::Endpoint& self) { m_isSeed = std::erase(m_seeds, self) > 0; }

bool StartPhase::awaitsState(Common::TimePoint now) const
{
    if (m_isFirstStart)
        return awaitsRoster(now);
    return hasSeeds() && !m_hasSeedFailed && now - m_started < firstStateTimeout;
}

std::optional<Common::Endpoint> StartPhase::seedToQuery() const
{
    if (m_seeds.empty())
        return std::nullopt;
    return m_seeds[m_seedIndex % m_seeds.size()];
}

bool StartPhase::isSettled(Common::TimePoint now) const
{
    return now - m_started >= rosterTimeout || !m_lastUnlistedRouter || now - *m_lastUnlistedRouter >= settleTime;
}

} // namespace Brassladder::RouteServing::Routing
