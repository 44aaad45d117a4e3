// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <string>

namespace Brassladder::RouteServing::Routing {

// Which list of upstreams a router has, and who confirmed last that it is the newest.
struct UpstreamListOrigin {
    uint64_t digest { 0 }; // Equal lists have equal digests (UpstreamListDigest.h); 0 without a list.
    std::string confirmedBy; // Id of the router that confirmed it; empty if it was read from the platform's store.
    unsigned hops { 0 }; // Routers between the store and this one.
    Common::TimePoint confirmedAt {}; // TimePoint {} if it was never confirmed.

    bool isConfirmed() const { return confirmedAt > Common::TimePoint {}; }
    // Returns the time since the list was confirmed, or Milliseconds::max() if it never was.
    Common::Milliseconds age(Common::TimePoint now) const
    {
        return isConfirmed() ? Common::toMilliseconds(now - confirmedAt) : Common::Milliseconds::max();
    }
};

} // namespace Brassladder::RouteServing::Routing
