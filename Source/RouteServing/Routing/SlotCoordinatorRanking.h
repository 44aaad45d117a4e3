// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// Decides which router coordinates the slots of a fragile upstream. The candidates are the routers with the greatest
// capacity, as many as there are hubs, since a slow router delays the requests of all others. They are the hubs while
// all routers respond. Each upstream is assigned to one of them by rendezvous hashing. Pure.
class SlotCoordinatorRanking {
public:
    struct Router {
        std::string id;
        unsigned capacity { 0 }; // See RosterEntry.
    };

    // Sets the routers of the fleet, including this one.
    void setRouters(std::span<const Router>);
    // Returns the first choice for which `isUsable` holds, or an empty string if there is none. Routers that are no
    // candidates are used only if no candidate is usable.
    std::string coordinatorOf(uint32_t upstream, const std::function<bool(const std::string& id)>& isUsable) const;

private:
    std::vector<std::string> m_ranked; // By capacity.
    size_t m_candidates { 0 }; // The first ones of `m_ranked`.
};

} // namespace Brassladder::RouteServing::Routing
