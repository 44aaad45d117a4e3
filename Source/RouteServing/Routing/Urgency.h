// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>

// Decides the order in which an engine serves waiting generations. Pure.
namespace Brassladder::RouteServing::Routing {

// Whether a generation is expected to begin within its route's objective.
enum class Punctuality : uint8_t { OnTime, Late };

// Ranks generations by the priorities in one configuration, and maps ranks to the priority levels of an engine (0 is
// the most urgent).
//
// The rank is the number of more urgent workspace priorities plus twice the number of more urgent route priorities. A
// generation never preempts one that is more urgent by one of the two priorities and not less urgent by the other.
// Where the two disagree, the route decides, unless the workspace priorities are further apart.
//
// Within a rank, generations that can still meet their objective go first. Otherwise an overloaded engine would serve
// all generations in order of arrival, and most of them late.
class UrgencyScale {
public:
    // Adds the priority of a workspace. A workspace without a priority is the least urgent.
    void addWorkspace(std::optional<unsigned> priority);
    // Adds the priority of a route to a service with engines.
    void addRoute(unsigned priority);

    // Returns the rank; 0 is the most urgent.
    size_t rank(std::optional<unsigned> workspacePriority, unsigned routePriority) const;

    // Returns the priority level for a generation of that rank, below `levels`. Late generations have a level of their
    // own, right after that of their rank. If the levels do not suffice for two per rank, only the least urgent ranks
    // have two, because they wait the longest.
    size_t level(size_t rank, Punctuality, size_t levels) const;

private:
    size_t rankCount() const;

    std::set<uint64_t> m_workspacePriorities;
    std::set<unsigned> m_routePriorities;
};

} // namespace Brassladder::RouteServing::Routing
