// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Brassladder::Routing {

// Who tells whom, in a fleet of any size. All routers are ranked by a hash of their ids; the first ones, about as many
// as the square root of the fleet, are hubs. Hubs read the platform's store and tell each other their loads; every
// other router asks one hub. So the calls to the store and the messages of one router grow with the square root of the
// fleet, and a router only ever asks one of higher rank, so that no two wait for each other's word.
class HubRanking {
public:
    // `isUsable`: not for peers that are taken for dead. This router itself always counts as usable.
    HubRanking(std::span<const std::string> routers, std::string_view self,
        const std::function<bool(const std::string&)>& isUsable);

    bool isHub() const { return !m_ownHub; }
    // The hub that this router asks; none when it is one itself.
    const std::optional<std::string>& ownHub() const { return m_ownHub; }
    // The other hubs, when this router is one.
    const std::vector<std::string>& otherHubs() const { return m_otherHubs; }

    static size_t hubCount(size_t routers);

private:
    std::optional<std::string> m_ownHub;
    std::vector<std::string> m_otherHubs;
};

} // namespace Brassladder::Routing
