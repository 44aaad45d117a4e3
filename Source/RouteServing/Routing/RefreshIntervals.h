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

    // Exponential backoff of a store reader, so that it does not hammer a store that is down. `failures`: in a row,
    // from 1.
    Common::Milliseconds backoffAfter(unsigned failures) const;
    // The same of a router that reads for itself alone, because what others tell it is stale. After a second failure it
    // leaves the store to the readers for longer: they tell it when the store is back, and all of 295 routers asking as
    // often as readers cost up to 2,000 calls in an outage of eight seconds (computed).
    Common::Milliseconds nonReaderBackoffAfter(unsigned failures) const;
};

// From `initial`, doubling up to `longest`.
Common::Milliseconds exponentialBackoff(Common::Milliseconds initial, Common::Milliseconds longest, unsigned failures);

// The backoff shortened by up to a half, so that routers that failed together do not ask again in step. `random`:
// evenly distributed in [0, 1).
Common::Milliseconds jittered(Common::Milliseconds backoff, double random);

} // namespace Brassladder::RouteServing::Routing
