// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// Decides which router requests state from which, in a fleet of any size. All routers are ranked by the processor share
// of their instances, because hubs do more work than others, and then by a hash of their ids. The first ones, about the
// square root of the fleet, are hubs, and the first few hubs are store readers. Store readers read the platform's
// store, other hubs request snapshots from a store reader, hubs exchange their loads, and every other router requests
// snapshots from one hub. Reads of the store therefore do not grow with the fleet, and the messages of a router grow
// with the square root of the fleet.
//
// A hub that cannot read the store is not a store reader while other hubs can read it. Otherwise all routers that
// depend on it would have stale state and read the store themselves. Pure.
class HubRanking {
public:
    struct Router {
        std::string_view id;
        bool canReadStore { true }; // Assumed true unless a failure is known.
        unsigned capacity { 0 }; // See RosterEntry.
    };

    // `others` are the other routers that respond.
    HubRanking(std::span<const Router> others, const Router& self);

    bool isHub() const { return m_isHub; }
    bool readsStore() const { return !m_source; }
    // Returns the router that this one requests snapshots from: a hub or, if this router is a hub, a store reader.
    // Nullopt if it reads the store itself.
    const std::optional<std::string>& source() const { return m_source; }
    // The other hubs; empty if this router is not a hub.
    const std::vector<std::string>& otherHubs() const { return m_otherHubs; }

    static size_t hubCount(size_t routers);
    static size_t storeReaderCount(size_t routers);

private:
    bool m_isHub { false };
    std::optional<std::string> m_source;
    std::vector<std::string> m_otherHubs;
};

} // namespace Brassladder::RouteServing::Routing
