// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/PeerLoads.h"

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Load reports older than this are ignored. Fifteen exchange intervals, so that the loss of a few messages does not
// make a loaded upstream appear idle.
static constexpr Common::Milliseconds reportMaxAge = 1500ms;

PeerLoads::PeerLoads()
    : m_subscribers(reportMaxAge)
    , m_hubs(reportMaxAge)
{
}

void PeerLoads::recordSubscriber(const std::string& id, LoadsByUpstream loads, Common::TimePoint now)
{
    m_subscribers.record(id, std::move(loads), 1, now);
}

void PeerLoads::recordHub(const std::string& id, LoadsByUpstream loads, unsigned routers, Common::TimePoint now)
{
    m_hubs.record(id, std::move(loads), routers, now);
}

LoadsByUpstream PeerLoads::sumOfOthers(Common::TimePoint now) const
{
    auto loads = m_hubs.sumExcluding({}, now);
    addLoads(loads, m_subscribers.sumExcluding({}, now));
    return loads;
}

LoadsByUpstream PeerLoads::sumWithSubscribers(
    LoadsByUpstream own, Common::TimePoint now, const std::string& target) const
{
    addLoads(own, m_subscribers.sumExcluding(target, now));
    return own;
}

LoadsByUpstream PeerLoads::sumForSubscriber(const std::string& id, LoadsByUpstream own, Common::TimePoint now) const
{
    addLoads(own, m_subscribers.sumExcluding(id, now));
    addLoads(own, m_hubs.sumExcluding(id, now));
    return own;
}

} // namespace Brassladder::RouteServing::Routing
