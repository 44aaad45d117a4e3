// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
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
// messages grow with its square root.
//
// A hub that cannot read the store is no store reader while others can: when the store turned a third of 295 routers
// away for nine seconds, all that relied on such a reader had stale state and read the store themselves, 1,373 calls
// (a log line for each call). Pure.
class HubRanking {
public:
    struct Router {
        std::string_view id;
        bool canReadStore { true }; // As far as is known.
    };

    // `others`: the other routers that respond.
    HubRanking(std::span<const Router> others, const Router& self);

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
