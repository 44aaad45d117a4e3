// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

// In which order an engine should take the generations that wait for it. Pure.
namespace Brassladder::RouteServing::Routing {

// Whether a generation is expected to begin within its route's objective.
enum class Punctuality : uint8_t { OnTime, Late };

// Ranks generations by the priorities that one configuration states, and maps ranks to the levels that an engine knows
// (0 is the most urgent).
//
// Workspace and route count alike: the rank is the sum of both places. So a generation never preempts one that is ahead
// of it in one of the two and not behind it in the other, and where each has two priorities, none that either order
// holds for more urgent. With the workspace first, chats of the second workspace priority (first route priority) were
// preempted again and again for summaries of the first one (second route priority): 22 requests in 0.4 s at one engine
// of 12 requests while summaries ran on, and pauses of 270 to 470 ms in nearly all of the chats (trace of a burst on
// 112 engines of which 28 crash). With the workspace's priority alone, generations of all routes waited as equals
// wherever all workspaces had one priority, and urgent ones were preempted like others: 17 at one engine that ran less
// urgent ones on, in a burst on 112 engines (trial).
//
// Within a rank, those that can still meet their objective go first. An engine with more to prefill than it can in time
// would otherwise serve all in order of arrival, and all late: worth 0.605 against 0.663 in bursts on nine engines,
// 0.558 against 0.645 on 112 (trials); OverloadTest plays such a burst.
class UrgencyScale {
public:
    // Of each workspace; one without a priority goes after those with one.
    void addWorkspace(std::optional<unsigned> priority);
    // Of each route that leads to engines.
    void addRoute(unsigned priority);

    // 0 is the most urgent.
    size_t rank(std::optional<unsigned> workspacePriority, unsigned routePriority) const;

    // The level for a generation of that rank, below `levels`. Where there are fewer levels than two for each rank, the
    // least urgent ranks have two, because they wait the longest.
    size_t level(size_t rank, Punctuality, size_t levels) const;

private:
    size_t rankCount() const;

    std::set<uint64_t> m_workspacePriorities;
    std::set<unsigned> m_routePriorities;
};

} // namespace Brassladder::RouteServing::Routing
