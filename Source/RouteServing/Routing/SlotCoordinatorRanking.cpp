// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/SlotCoordinatorRanking.h"

#include "Common/Digest.h"
#include "RouteServing/Routing/HubRanking.h"

#include <algorithm>
#include <utility>

namespace Brassladder::RouteServing::Routing {

void SlotCoordinatorRanking::setRouters(std::span<const Router> routers)
{
    std::vector<std::pair<uint64_t, const Router*>> ranked;
    for (const auto& router : routers)
        ranked.emplace_back(Common::stableHash(router.id), &router);
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
        return std::pair(b.second->capacity, a.first) < std::pair(a.second->capacity, b.first);
    });
    m_ranked.clear();
    for (const auto& [hash, router] : ranked)
        m_ranked.push_back(router->id);
    m_candidates = HubRanking::hubCount(routers.size());
}

std::string SlotCoordinatorRanking::coordinatorOf(
    uint32_t upstream, const std::function<bool(const std::string& id)>& isUsable) const
{
    auto firstOf = [&](std::span<const std::string> ids) {
        const std::string* first = nullptr;
        for (const auto& id : ids) {
            bool isBefore = !first || Common::stableHash(id, upstream) > Common::stableHash(*first, upstream);
            if (isBefore && isUsable(id))
                first = &id;
        }
        return first ? *first : std::string();
    };
    std::span<const std::string> all(m_ranked);
    auto coordinator = firstOf(all.first(m_candidates));
    return coordinator.empty() ? firstOf(all.subspan(m_candidates)) : coordinator;
}

} // namespace Brassladder::RouteServing::Routing
