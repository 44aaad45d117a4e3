// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/PrefixRanking.h"

#include "Common/Digest.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

PrefixRanking::PrefixRanking(uint64_t prefix, std::span<const EngineState> engines, std::span<const size_t> allowed)
{
    std::array<uint64_t, maxCopies> scores {}; // Of `m_engines`, highest first.
    for (size_t index : allowed) {
        auto score = Common::stableHash(engines[index].id, prefix);
        if (m_count == maxCopies && score <= scores.back())
            continue;
        size_t position = m_count < maxCopies ? m_count++ : maxCopies - 1;
        for (; position > 0 && scores[position - 1] < score; --position) {
            scores[position] = scores[position - 1];
            m_engines[position] = m_engines[position - 1];
        }
        scores[position] = score;
        m_engines[position] = index;
    }
}

bool PrefixRanking::contains(size_t index) const
{
    auto ranked = engines();
    return std::find(ranked.begin(), ranked.end(), index) != ranked.end();
}

} // namespace Brassladder::RouteServing::Routing
