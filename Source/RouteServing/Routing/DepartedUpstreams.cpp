// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/DepartedUpstreams.h"

namespace Brassladder::RouteServing::Routing {

// Must exceed the number of departures within the few seconds in which delayed writes arrive. The entries take about
// 60 KB.
static constexpr size_t maxDepartedUpstreams = 512;

void DepartedUpstreams::record(const UpstreamRecord& upstream)
{
    auto [entry, isNew] = m_incarnations.insert_or_assign(upstream.id, Incarnation { upstream.born, upstream.leaving });
    if (isNew)
        m_order.push_back(entry->first);
    if (m_order.size() <= maxDepartedUpstreams)
        return;
    m_incarnations.erase(m_order.front());
    m_order.pop_front();
}

bool DepartedUpstreams::isObsolete(const UpstreamRecord& upstream) const
{
    auto found = m_incarnations.find(upstream.id);
    if (found == m_incarnations.end())
        return false;
    const auto& incarnation = found->second;
    return upstream.born < incarnation.born || (upstream.born == incarnation.born && incarnation.wasLeaving);
}

bool DepartedUpstreams::contains(const UpstreamIncarnation& incarnation) const
{
    auto found = m_incarnations.find(incarnation.id);
    return found != m_incarnations.end() && found->second.born == incarnation.born;
}

} // namespace Brassladder::RouteServing::Routing
