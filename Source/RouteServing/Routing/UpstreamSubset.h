// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/Upstream.h"

#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// Limits how many upstreams of one service the fleet uses, so that the state, the messages and the decisions of a
// router do not grow with the number of upstreams. Where few requests meet many engines, it also keeps shared prompt
// prefixes on few of them.
//
// The subset consists of the first upstreams in the order of a hash of their ids. All routers therefore use the same
// upstreams, spread evenly over the failure domains, and a larger subset contains a smaller one. When an upstream ends,
// the next one in the order takes its place. Pure; not thread-safe.
class UpstreamSubset {
public:
    // The smallest subset. A service with at most as many upstreams uses all of them.
    static constexpr size_t minSize = 256;

    struct Demand {
        size_t routers { 1 }; // In the fleet.
        double outstanding { 0 }; // Requests of all routers at the service.
        double slotsPerUpstream { 1 }; // Requests that one upstream serves at once.
        // The fleet orders the upstreams of the service, so their number follows its load already.
        bool isScaled { false };
    };
    // Returns the demand of a service. `slotsPerUpstream` is overwritten by select().
    using DemandOfService = std::function<Demand(std::string_view service)>;

    // Returns the upstreams to use. Includes leaving and evacuated ones within the order of the subset, which do not
    // count towards its size.
    std::vector<UpstreamRecord> select(std::span<const UpstreamRecord>, const DemandOfService&);

    // Returns the number of upstreams to use, given the current one: a power of two times `minSize`.
    static size_t nextSize(size_t current, const Demand&);

private:
    struct RankedUpstream {
        uint64_t rank { 0 };
        const UpstreamRecord* record { nullptr };
    };
    // Returns the highest rank in the subset.
    static uint64_t highestRank(std::span<const RankedUpstream>, size_t size);

    std::map<std::string, size_t, std::less<>> m_sizes; // By service.
};

} // namespace Brassladder::RouteServing::Routing
