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

// Who tells whom, in a fleet of any size. All routers are ranked by a hash of their ids; the first ones, about as many
// as the square root of the fleet, are hubs, and the first few hubs are store readers. These read the platform's store,
// other hubs ask one of them, all hubs tell each other their loads, and every other router asks one hub. So the calls
// to the store do not grow with the fleet, and the messages of one router grow with its square root. A router only ever
// asks one of higher rank, so that no two wait for each other's word.
class HubRanking {
public:
    // `isUsable`: not for peers that are taken for dead. This router itself always counts as usable.
    HubRanking(std::span<const std::string> routers, std::string_view self,
        const std::function<bool(const std::string&)>& isUsable);

    bool isHub() const { return m_isHub; }
    bool readsStore() const { return !m_source; }
    // Whom this router asks: a hub, or for a hub a store reader; none when it reads the store itself.
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
