// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/HubRanking.h"

#include "Common/Digest.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Routing {

// In a smaller fleet all routers are hubs, because a single hub would have no immediate replacement.
static constexpr size_t minRoutersWithSubscribers = 4;
// If one store reader fails and another is cut off from the store, the third one remains.
// On a quiet day of a large deployment, calls to the store cost 0.125 of the value served with every router as a
// reader, 0.030 with all nine hubs and 0.018 with three (docs/DESIGN.md).
static constexpr size_t maxStoreReaders = 3;

size_t HubRanking::hubCount(size_t routers)
{
    if (routers < minRoutersWithSubscribers)
        return routers;
    return static_cast<size_t>(std::lround(std::sqrt(static_cast<double>(routers))));
}

size_t HubRanking::storeReaderCount(size_t routers) { return std::min(hubCount(routers), maxStoreReaders); }

// Selects one of `from`, spreading the requesters over them by rendezvous hashing.
static std::string pickSource(std::span<const std::string> from, std::string_view requester)
{
    auto seed = Common::stableHash(requester);
    return *std::max_element(from.begin(), from.end(),
        [&](const auto& a, const auto& b) { return Common::stableHash(a, seed) < Common::stableHash(b, seed); });
}

// Returns the first `count` routers by capacity and by a hash of their ids. Hashes each id once and sorts only the
// first routers, because each router ranks the whole fleet ten times a second.
static std::vector<HubRanking::Router> firstRanked(std::span<const HubRanking::Router> routers, size_t count)
{
    struct Ranked {
        unsigned capacity;
        uint64_t hash;
        size_t index;
    };
    std::vector<Ranked> ranked;
    for (size_t index = 0; index < routers.size(); ++index)
        ranked.push_back({ routers[index].capacity, Common::stableHash(routers[index].id), index });
    auto end = ranked.begin() + static_cast<ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end(),
        [](const auto& a, const auto& b) { return std::pair(b.capacity, a.hash) < std::pair(a.capacity, b.hash); });
    std::vector<HubRanking::Router> first;
    for (auto router = ranked.begin(); router != end; ++router)
        first.push_back(routers[router->index]);
    return first;
}

// Returns the first hubs that can read the store. If none can, returns the first hubs, so that they keep trying until
// the store recovers.
static std::vector<std::string> storeReaders(std::span<const HubRanking::Router> hubs, size_t count)
{
    std::vector<std::string> readers;
    for (bool requiresStoreAccess : { true, false }) {
        for (const auto& hub : hubs) {
            if (readers.size() < count && (hub.canReadStore || !requiresStoreAccess))
                readers.emplace_back(hub.id);
        }
        if (!readers.empty())
            break;
    }
    return readers;
}

HubRanking::HubRanking(std::span<const Router> others, const Router& self)
{
    std::vector<Router> routers(others.begin(), others.end());
    routers.push_back(self);
    auto hubs = firstRanked(routers, hubCount(routers.size()));
    std::vector<std::string> hubIds;
    hubIds.reserve(hubs.size());
    for (const auto& hub : hubs)
        hubIds.emplace_back(hub.id);
    m_isHub = std::find(hubIds.begin(), hubIds.end(), self.id) != hubIds.end();
    if (!m_isHub) {
        m_source = pickSource(hubIds, self.id);
        return;
    }
    std::copy_if(
        hubIds.begin(), hubIds.end(), std::back_inserter(m_otherHubs), [&](const auto& hub) { return hub != self.id; });
    auto readers = storeReaders(hubs, storeReaderCount(routers.size()));
    if (std::find(readers.begin(), readers.end(), self.id) == readers.end())
        m_source = pickSource(readers, self.id);
}

} // namespace Brassladder::RouteServing::Routing
