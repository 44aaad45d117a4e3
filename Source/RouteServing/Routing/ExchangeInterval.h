// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <algorithm>
#include <cstddef>
#include <optional>

namespace Brassladder::RouteServing::Routing {

// Interval of the exchange between routers in a small fleet, at the start of a router, and while quotas are exchanged.
inline constexpr Common::Milliseconds minExchangeInterval { 100 };
// The timeouts of the exchange allow for a few intervals of this length.
inline constexpr Common::Milliseconds maxExchangeInterval { 400 };

// Returns the interval at which a router requests snapshots and hubs send their loads. It grows with the fleet, because
// the loads of all routers are in each snapshot while a router places fewer of the fleet's requests. Changes of the
// configuration and of the list of upstreams do not wait for it. `longest` is at least `minExchangeInterval`. Pure.
inline Common::Milliseconds exchangeInterval(
    std::optional<size_t> routers, Common::Milliseconds longest = maxExchangeInterval)
{
    // A fleet that needs at most `minExchangeInterval`.
    constexpr size_t smallFleet = 250;
    auto factor = static_cast<double>(routers.value_or(1)) / static_cast<double>(smallFleet);
    auto scaled = Common::Milliseconds(static_cast<int64_t>(static_cast<double>(minExchangeInterval.count()) * factor));
    return std::clamp(scaled, minExchangeInterval, longest);
}

} // namespace Brassladder::RouteServing::Routing
