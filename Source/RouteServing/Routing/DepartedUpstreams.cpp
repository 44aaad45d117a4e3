// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/DepartedUpstreams.h"

namespace Brassladder::RouteServing::Routing {

// Must exceed the number of departures within the few seconds in which delayed writes arrive. The entries take about
// 60 KB.
static constexpr size_t maxDepartedUpstreams = 512;

void DepartedUpstreams::record(const UpstreamRecord& upstream)
{
    auto [start, isNew] = m_starts.insert_or_assign(upstream.id, Start { upstream.born, upstream.leaving });
    if (isNew)
        m_order.push_back(start->first);
    if (m_order.size() <= maxDepartedUpstreams)
        return;
    m_starts.erase(m_order.front());
    m_order.pop_front();
}

bool DepartedUpstreams::isObsolete(const UpstreamRecord& upstream) const
{
    auto found = m_starts.find(upstream.id);
    if (found == m_starts.end())
        return false;
    const auto& start = found->second;
    return upstream.born < start.born || (upstream.born == start.born && start.wasLeaving);
}

} // namespace Brassladder::RouteServing::Routing
