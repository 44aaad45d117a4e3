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
    m_hashes.clear();
    for (auto& [hash, id] : ranked) {
        m_hashes.push_back(hash);
        m_candidates.push_back(std::move(id));
    }
}

// Mixes two hashes (the finalizer of SplitMix64).
static uint64_t mix(uint64_t candidate, uint64_t stream)
{
    uint64_t value = candidate ^ stream;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

std::vector<std::string> StreamHomes::homesOf(
    uint64_t streamHash, size_t count, const std::function<bool(const std::string& id)>& isUsable) const
{
    std::vector<std::pair<uint64_t, size_t>> ranked;
    ranked.reserve(m_hashes.size());
    for (size_t index = 0; index < m_hashes.size(); ++index)
        ranked.emplace_back(mix(m_hashes[index], streamHash), index);
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
