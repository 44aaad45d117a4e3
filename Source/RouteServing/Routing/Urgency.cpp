// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/Urgency.h"

#include <algorithm>
#include <limits>

namespace Brassladder::RouteServing::Routing {

// A more urgent route counts as much as this many more urgent workspace priorities. With equal weights, short prompts
// of workspaces with a low priority were preempted by long responses of others, and the callers of the urgent route
// waited behind a less urgent one.
static constexpr size_t routeWeight = 2;

static uint64_t sortKey(std::optional<unsigned> priority)
{
    return priority ? *priority : std::numeric_limits<uint64_t>::max();
}

// Returns how many priorities are more urgent than this one.
template <typename Priority> static size_t countBefore(const std::set<Priority>& priorities, Priority priority)
{
    return static_cast<size_t>(std::distance(priorities.begin(), priorities.lower_bound(priority)));
}

void UrgencyScale::addWorkspace(std::optional<unsigned> priority) { m_workspacePriorities.insert(sortKey(priority)); }

void UrgencyScale::addRoute(unsigned priority) { m_routePriorities.insert(priority); }

size_t UrgencyScale::rankCount() const
{
    return std::max<size_t>(1, m_workspacePriorities.size())
        + routeWeight * (std::max<size_t>(1, m_routePriorities.size()) - 1);
}

size_t UrgencyScale::rank(std::optional<unsigned> workspacePriority, unsigned routePriority) const
{
    return countBefore(m_workspacePriorities, sortKey(workspacePriority))
        + routeWeight * countBefore(m_routePriorities, routePriority);
}

size_t UrgencyScale::level(size_t rank, Punctuality punctuality, size_t levels) const
{
    auto ranks = rankCount();
    if (ranks >= levels)
        return std::min(rank, levels - 1);
    auto ranksWithTwoLevels = std::min(ranks, levels - ranks);
    auto firstWithTwo = ranks - ranksWithTwoLevels;
    if (rank < firstWithTwo)
        return rank;
    auto level = firstWithTwo + 2 * (rank - firstWithTwo) + (punctuality == Punctuality::Late ? 1 : 0);
    return std::min(level, levels - 1);
}

} // namespace Brassladder::RouteServing::Routing
