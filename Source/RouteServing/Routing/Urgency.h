// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

// Decides in which order an engine takes the generations that wait for it. Pure.
namespace Brassladder::RouteServing::Routing {

// Whether a generation is expected to begin within its route's objective.
enum class Punctuality : uint8_t { OnTime, Late };

// Ranks generations by the priorities in one configuration, and maps ranks to the priority levels of an engine (0 is
// the most urgent).
//
// The rank is the sum of the positions of the workspace's and the route's priority. Both count equally, so a generation
// never preempts one that is ahead of it in one of the two and not behind it in the other.
//
// Within a rank, generations that can still meet their objective go first. Otherwise an overloaded engine would serve
// all in order of arrival, and all late.
class UrgencyScale {
public:
    // Adds the priority of a workspace. Workspaces without one come last.
    void addWorkspace(std::optional<unsigned> priority);
    // Adds the priority of a route that leads to engines.
    void addRoute(unsigned priority);

    // 0 is the most urgent.
    size_t rank(std::optional<unsigned> workspacePriority, unsigned routePriority) const;

    // Returns the level for a generation of that rank, below `levels`. If there are fewer than two levels per rank, the
    // least urgent ranks have two, because they wait the longest.
    size_t level(size_t rank, Punctuality, size_t levels) const;

private:
    size_t rankCount() const;

    std::set<uint64_t> m_workspacePriorities;
    std::set<unsigned> m_routePriorities;
};

} // namespace Brassladder::RouteServing::Routing
