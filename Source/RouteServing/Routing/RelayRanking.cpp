// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/RelayRanking.h"

#include <algorithm>
#include <utility>

namespace Brassladder::RouteServing::Routing {

using Common::Endpoint;
using Common::TimePoint;

// Moves random routers to the front, until there are `count` of them.
static void drawFirst(std::vector<const Endpoint*>& routers, size_t count, const std::function<size_t(size_t)>& random)
{
    for (size_t index = 0; index < std::min(count, routers.size()); ++index)
        std::swap(routers[index], routers[index + random(routers.size() - index)]);
}

std::vector<Endpoint> RelayRanking::choose(
    std::span<const Endpoint> routers, size_t count, TimePoint now, const std::function<size_t(size_t)>& random) const
{
    std::vector<const Endpoint*> usable;
    std::vector<const Endpoint*> backedOff;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& router : routers) {
            auto failed = m_failed.find(router);
            bool isBackedOff = failed != m_failed.end() && now - failed->second < backoff;
            (isBackedOff ? backedOff : usable).push_back(&router);
        }
    }
    std::vector<Endpoint> chosen;
    for (auto* group : { &usable, &backedOff }) {
        drawFirst(*group, count - chosen.size(), random);
        for (size_t index = 0; index < group->size() && chosen.size() < count; ++index)
            chosen.push_back(*(*group)[index]);
    }
    return chosen;
}

void RelayRanking::recordSuccess(const Endpoint& router)
{
    std::lock_guard lock(m_mutex);
    m_failed.erase(router);
}

void RelayRanking::recordFailure(const Endpoint& router, TimePoint now)
{
    std::lock_guard lock(m_mutex);
    std::erase_if(m_failed, [&](const auto& each) { return now - each.second >= backoff; });
    m_failed[router] = now;
}

} // namespace Brassladder::RouteServing::Routing
