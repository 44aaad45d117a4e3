// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/HubRanking.h"

#include "Common/Digest.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Routing {

// Fewer routers than this are all hubs: a single hub would leave nobody to take over at once. Chosen, not measured.
static constexpr size_t minRoutersWithHubs = 4;
// One may be lost and another one cut off from the store, and one is still there. Measured on the grown quiet-1: the
// price of calls to the store was 0.125 with every router as reader, 0.030 with all nine hubs, 0.018 with three
// (docs/DESIGN.md).
static constexpr size_t maxStoreReaders = 3;

size_t HubRanking::hubCount(size_t routers)
{
    if (routers < minRoutersWithHubs)
        return routers;
    return static_cast<size_t>(std::lround(std::sqrt(static_cast<double>(routers))));
}

size_t HubRanking::storeReaderCount(size_t routers) { return std::min(hubCount(routers), maxStoreReaders); }

// One of a few, spread over them by rendezvous hashing.
static std::string pickSource(std::span<const std::string> from, std::string_view requester)
{
    auto seed = Common::stableHash(requester);
    return *std::max_element(from.begin(), from.end(),
        [&](const auto& a, const auto& b) { return Common::stableHash(a, seed) < Common::stableHash(b, seed); });
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
    auto hubs = std::span<const std::string>(ranked).first(hubCount(ranked.size()));
    m_isHub = std::find(hubs.begin(), hubs.end(), self) != hubs.end();
    if (!m_isHub) {
        m_source = pickSource(hubs, self);
        return;
    }
    std::copy_if(
        hubs.begin(), hubs.end(), std::back_inserter(m_otherHubs), [&](const auto& hub) { return hub != self; });
    auto readers = hubs.first(storeReaderCount(ranked.size()));
    if (std::find(readers.begin(), readers.end(), self) == readers.end())
        m_source = pickSource(readers, self);
}

} // namespace Brassladder::RouteServing::Routing
