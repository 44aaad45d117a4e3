// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/UpstreamReachability.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using Common::Endpoint;
using Common::TimePoint;

static bool isRecent(const std::optional<TimePoint>& event, TimePoint now)
{
    return event && now - *event < UpstreamReachability::evidenceLifetime;
}

// A direct success shows that the links as such work, so it also ends the suspicion that other upstreams raised.
void UpstreamReachability::recordDirect(const Endpoint& upstream, TimePoint)
{
    std::lock_guard lock(m_mutex);
    m_states.erase(upstream);
    for (auto& [endpoint, state] : m_states)
        state.failed.reset();
}

void UpstreamReachability::recordDirectFailure(const Endpoint& upstream, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    removeOld(now);
    m_states[upstream].failed = now;
}

void UpstreamReachability::recordRelayed(const Endpoint& upstream, bool hasDirectFailed, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto& state = m_states[upstream];
    if (hasDirectFailed)
        state.failed = now;
    state.relayed = now;
}

void UpstreamReachability::recordUnreachable(const Endpoint& upstream)
{
    std::lock_guard lock(m_mutex);
    m_states.erase(upstream);
}

bool UpstreamReachability::isLinkLostLocked(const Endpoint& upstream, TimePoint now) const
{
    auto found = m_states.find(upstream);
    return found != m_states.end() && isRecent(found->second.relayed, now);
}

bool UpstreamReachability::areAllLinksLostLocked(TimePoint now) const
{
    auto lost = std::count_if(m_states.begin(), m_states.end(),
        [&](const auto& each) { return isRecent(each.second.relayed, now) && isRecent(each.second.failed, now); });
    return static_cast<size_t>(lost) >= failuresToSuspect;
}

bool UpstreamReachability::isLinkLost(const Endpoint& upstream, TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return isLinkLostLocked(upstream, now) || areAllLinksLostLocked(now);
}

bool UpstreamReachability::areAllLinksLost(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    return areAllLinksLostLocked(now);
}

bool UpstreamReachability::areLinksSuspect(TimePoint now) const
{
    std::lock_guard lock(m_mutex);
    auto failed = std::count_if(
        m_states.begin(), m_states.end(), [&](const auto& each) { return isRecent(each.second.failed, now); });
    return static_cast<size_t>(failed) >= failuresToSuspect;
}

bool UpstreamReachability::takeProbe(const Endpoint& upstream, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    auto& state = m_states[upstream];
    if (now - state.lastProbe < probeInterval)
        return false;
    state.lastProbe = now;
    return true;
}

void UpstreamReachability::removeOld(TimePoint now)
{
    std::erase_if(m_states,
        [&](const auto& each) { return !isRecent(each.second.failed, now) && !isRecent(each.second.relayed, now); });
}

} // namespace Brassladder::RouteServing::Routing
