// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <deque>

namespace Brassladder::RouteServing::Routing {

// Whether a router still hears of most of its fleet. One that is cut off does not know what the others served, so it
// should not do duties for all of them. Compared with what it heard itself a while ago, since the roster also lists
// routers that ended for good. Not safe for several threads.
class FleetConnectivity {
public:
    // Other routers whose load is known now.
    void record(unsigned routers, Common::TimePoint now);
    bool isPartitioned(Common::TimePoint now) const;
    // Routers that are heard now over those that were heard at most lately, this one counted in both.
    double reachableShare(Common::TimePoint now) const;
    // Routers that were heard at most lately over those that are heard now, this one counted in both: the load of the
    // others is not gone. At most two.
    double unreachableLoadFactor(Common::TimePoint now) const;

private:
    struct Sample {
        Common::TimePoint at;
        unsigned routers { 0 };
    };
    std::deque<Sample> m_peaks; // Falling: each is the most that was heard since the one before it.
    unsigned m_routers { 0 };
};

} // namespace Brassladder::RouteServing::Routing
