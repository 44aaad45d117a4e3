// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

// How often the platform's store is read, when a report of another router is too old, and how long to wait after a
// failed read. Pure: all follows from the two bounds that the operators set.
namespace Brassladder::RouteServing::Routing {

struct RefreshIntervals {
    Common::Milliseconds configurationLongPoll { 0 }; // One read of the configuration waits this long for a change.
    Common::Milliseconds configurationStaleAfter { 0 }; // A confirmation that is older is too old to rely on.
    Common::Milliseconds upstreamInterval { 0 }; // Between two reads of the list of upstreams.
    Common::Milliseconds upstreamsStaleAfter { 0 }; // A list that was confirmed longer ago is too old to rely on.
    Common::Milliseconds initialBackoff { 0 }; // After a failed read; doubles with each further one.
    Common::Milliseconds maxBackoff { 0 };

    // `configurationBound`: a new configuration is in force after this. `leavingBound`: a leaving upstream gets nothing
    // new after this.
    static RefreshIntervals within(Common::Milliseconds configurationBound, Common::Milliseconds leavingBound);

    // Exponential backoff, so that a fleet does not hammer a store that is down. `failures`: in a row, from 1.
    Common::Milliseconds backoffAfter(unsigned failures) const;
};

} // namespace Brassladder::RouteServing::Routing
