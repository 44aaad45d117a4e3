// SPDX-License-Identifier: Apache-2.0
#include "Routing/HubRanking.h"

#include "Common/Digest.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::Routing {

// Fewer routers than this are all hubs: one hub alone would leave nobody to take over at once.
static constexpr size_t leastRoutersWithHubs = 4;

size_t HubRanking::hubCount(size_t routers)
{
    if (routers < leastRoutersWithHubs)
        return routers;
    return static_cast<size_t>(std::lround(std::sqrt(static_cast<double>(routers))));
}

HubRanking::HubRanking(std::span<const std::string> routers, std::string_view self,
    const std::function<bool(const std::string&)>& isUsable)
{
    std::vector<std::string> ranked;
    for (const auto& router : routers) {
        if (router != self && isUsable(router))
            ranked.push_back(router);
    }
    ranked.emplace_back(self);
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
        return std::pair(Common::stableHash(a), a) < std::pair(Common::stableHash(b), b);
    });
    auto hubs = std::span(ranked).first(hubCount(ranked.size()));
    if (std::find(hubs.begin(), hubs.end(), self) != hubs.end()) {
        std::copy_if(
            hubs.begin(), hubs.end(), std::back_inserter(m_otherHubs), [&](const auto& hub) { return hub != self; });
        return;
    }
    auto seed = Common::stableHash(self);
    m_ownHub = *std::max_element(hubs.begin(), hubs.end(),
        [&](const auto& a, const auto& b) { return Common::stableHash(a, seed) < Common::stableHash(b, seed); });
}

} // namespace Brassladder::Routing
