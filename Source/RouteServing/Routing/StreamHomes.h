// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// The routers that keep where a stream began, so that a router to which its caller returns can ask them. Every router
// derives the same homes from the hash of the stream, by rendezvous hashing; routers that know different parts of the
// fleet agree on most of them. In a large fleet only some routers are candidates, which bounds the connections between
// routers. Pure.
class StreamHomes {
public:
    // Homes of one stream, beside the router that relays it. Three in different places are lost together only with a
    // large part of the fleet.
    static constexpr size_t copies = 3;
    static constexpr size_t maxCandidates = 64;

    // Sets the routers of the fleet, by id.
    void setRouters(std::span<const std::string> ids);
    const std::vector<std::string>& candidates() const { return m_candidates; }

    // Returns up to `count` candidates for which `isUsable` holds, the first choice first.
    std::vector<std::string> homesOf(
        uint64_t streamHash, size_t count, const std::function<bool(const std::string& id)>& isUsable) const;

private:
    std::vector<std::string> m_candidates;
};

} // namespace Brassladder::RouteServing::Routing
