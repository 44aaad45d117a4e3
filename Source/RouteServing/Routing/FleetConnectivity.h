// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <deque>

namespace Brassladder::RouteServing::Routing {

// Detects whether this router is cut off from most of its fleet. Such a router lacks the reports of the others, so it
// should not perform duties for the whole fleet. Compares the number of reachable routers with its recent peak, because
// the roster also lists routers that have ended for good. Not thread-safe.
class FleetConnectivity {
public:
    // Records the number of other routers that have reported their load recently.
    void record(unsigned otherRouters, Common::TimePoint now);
    bool isPartitioned(Common::TimePoint now) const;
    // Returns the reachable routers divided by their recent peak, both including this router.
    double reachableShare(Common::TimePoint now) const;
    // Returns the factor by which to scale the known load to estimate that of the whole fleet: the recent peak of
    // reachable routers divided by those reachable now, both including this router; at most 2. Unreachable routers are
    // assumed to still have the same load as the others.
    double unreachableLoadFactor(Common::TimePoint now) const;

private:
    struct Sample {
        Common::TimePoint at;
        unsigned otherRouters { 0 };
    };
    // In order of time, with decreasing counts: each is the maximum since the one before it.
    std::deque<Sample> m_peaks;
    unsigned m_otherRouters { 0 };
};

} // namespace Brassladder::RouteServing::Routing
