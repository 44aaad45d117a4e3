// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// Who requests state from whom, in a fleet of any size. All routers are ranked by a hash of their ids; the first ones,
// about as many as the square root of the fleet, are hubs, and the first few hubs are store readers. Store readers read
// the platform's store, other hubs request snapshots from one of them, hubs send each other their loads, and every
// other router requests snapshots from one hub. So calls to the store do not grow with the fleet, and a router's
// messages grow with its square root. A router only requests from one of higher rank, so that no two wait for each
// other. Pure.
class HubRanking {
public:
    // `routers`: the ids of the other routers; `isUsable`: false for those that do not respond. This router always
    // counts as usable.
    HubRanking(std::span<const std::string> routers, std::string_view self,
        const std::function<bool(const std::string&)>& isUsable);

    bool isHub() const { return m_isHub; }
    bool readsStore() const { return !m_source; }
    // Where this router requests snapshots: a hub, or for a hub a store reader; none when it reads the store itself.
    const std::optional<std::string>& source() const { return m_source; }
    // The other hubs, when this router is one.
    const std::vector<std::string>& otherHubs() const { return m_otherHubs; }

    static size_t hubCount(size_t routers);
    static size_t storeReaderCount(size_t routers);

private:
    bool m_isHub { false };
    std::optional<std::string> m_source;
    std::vector<std::string> m_otherHubs;
};

} // namespace Brassladder::RouteServing::Routing
