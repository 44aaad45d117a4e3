// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <algorithm>
#include <cstddef>

// The waits until a connection to an upstream is attempted through other routers (docs/design/lost-links.md).
namespace Brassladder::RouteServing::Routing {

// Number of routers through which one connection is attempted, and the time until the next one is attempted beside
// those that have not responded.
inline constexpr size_t maxRelays = 5;
inline constexpr Common::Milliseconds relayInterval { 40 };

// Time from a direct attempt until one through another router begins: a share of the time-out, within these bounds.
// Longer than a network round trip between regions, so that slow links are not taken for lost ones.
inline constexpr int relayDelayDivisor = 2;
inline constexpr Common::Milliseconds minRelayDelay { 50 };
inline constexpr Common::Milliseconds maxRelayDelay { 150 };

// Another router needs two round trips and its own time-out to find out that it has no link either.
inline constexpr Common::Milliseconds minRelayTimeout { 300 };

inline Common::Milliseconds relayDelay(Common::Milliseconds connectTimeout)
{
    return std::clamp(connectTimeout / relayDelayDivisor, minRelayDelay, maxRelayDelay);
}

} // namespace Brassladder::RouteServing::Routing
