// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/EngineOrder.h"

#include "Common/Digest.h"

#include <algorithm>
#include <utility>

namespace Brassladder::RouteServing::Routing {

bool EngineOrder::isCurrent(std::span<const EngineState> engines) const
{
    return std::equal(engines.begin(), engines.end(), m_ids.begin(), m_ids.end(),
        [](const EngineState& engine, const std::string& id) { return engine.id == id; });
}

std::span<const size_t> EngineOrder::of(std::span<const EngineState> engines)
{
    if (isCurrent(engines))
        return m_order;
    std::vector<std::pair<uint64_t, size_t>> ranked;
    ranked.reserve(engines.size());
    m_ids.clear();
    for (const auto& engine : engines) {
        ranked.emplace_back(Common::stableHash(engine.id), ranked.size());
        m_ids.emplace_back(engine.id);
    }
    std::sort(ranked.begin(), ranked.end());
    m_order.clear();
    for (const auto& [hash, index] : ranked)
        m_order.push_back(index);
    return m_order;
}

} // namespace Brassladder::RouteServing::Routing
