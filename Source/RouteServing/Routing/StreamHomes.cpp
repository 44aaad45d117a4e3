// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/StreamHomes.h"

#include "Common/Digest.h"

#include <algorithm>
#include <utility>

namespace Brassladder::RouteServing::Routing {

// Distinguishes these hashes from those that rank hubs, so that the candidates are not the hubs.
static constexpr uint64_t candidateSeed = 0x73747265616d;

// The candidates are those with the lowest hashes, so that a router that joins or leaves changes one of them at most.
void StreamHomes::setRouters(std::span<const std::string> ids)
{
    std::vector<std::pair<uint64_t, std::string>> ranked;
    ranked.reserve(ids.size());
    for (const auto& id : ids)
        ranked.emplace_back(Common::stableHash(id, candidateSeed), id);
    std::sort(ranked.begin(), ranked.end());
    ranked.resize(std::min(ranked.size(), maxCandidates));
    m_candidates.clear();
    for (auto& [hash, id] : ranked)
        m_candidates.push_back(std::move(id));
}

std::vector<std::string> StreamHomes::homesOf(
    uint64_t streamHash, size_t count, const std::function<bool(const std::string& id)>& isUsable) const
{
    std::vector<std::pair<uint64_t, size_t>> ranked;
    ranked.reserve(m_candidates.size());
    for (size_t index = 0; index < m_candidates.size(); ++index)
        ranked.emplace_back(Common::stableHash(m_candidates[index], streamHash), index);
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> homes;
    for (const auto& [score, index] : ranked) {
        if (homes.size() == count)
            break;
        if (isUsable(m_candidates[index]))
            homes.push_back(m_candidates[index]);
    }
    return homes;
}

} // namespace Brassladder::RouteServing::Routing
