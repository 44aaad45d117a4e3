// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <deque>

namespace Brassladder::RouteServing::Routing {

// Detects whether this router is cut off from most of its fleet. Such a router does not know what the others served, so
// it should not perform duties for the whole fleet. Compares the reachable routers with their recent peak, because the
// roster also lists routers that have ended for good. Not thread-safe.
class FleetConnectivity {
public:
    // Records the number of other routers whose load is known now.
    void record(unsigned routers, Common::TimePoint now);
    bool isPartitioned(Common::TimePoint now) const;
    // Returns the reachable routers divided by their recent peak, both including this router.
    double reachableShare(Common::TimePoint now) const;
    // Returns the factor from the known load to that of the whole fleet: the recent peak of reachable routers divided
    // by those reachable now, both including this router; at most 2. The load of unreachable routers has not gone away.
    double unreachableLoadFactor(Common::TimePoint now) const;

private:
    struct Sample {
        Common::TimePoint at;
        unsigned routers { 0 };
    };
    std::deque<Sample> m_peaks; // Decreasing: each is the maximum since the one before it.
    unsigned m_routers { 0 };
};

} // namespace Brassladder::RouteServing::Routing
