// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/ExchangeInterval.h"
#include "RouteServing/Routing/OutstandingRequests.h"

// Derives from two bounds that the operators set: how often the platform's store is read, when state from other routers
// is stale, and the backoff after a failed read. Pure.
namespace Brassladder::RouteServing::Routing {

// Waits within one read of the platform's store.
struct StoreReadTimes {
    static constexpr Common::Milliseconds defaultConnectTimeout { 500 };
    static constexpr Common::Milliseconds defaultResponseTimeout { 1000 };

    Common::Milliseconds connectTimeout { defaultConnectTimeout };
    // For each response. The store responds within a few milliseconds, and within some hundred when it is slow.
    Common::Milliseconds responseTimeout { defaultResponseTimeout };
    // A read without a response is attempted again on another connection after this long (Common/HedgeSchedule.h).
    Common::Milliseconds hedgeAfter { 0 }; // Zero: never.
    // Whether complete reads are hedged as well. Those of a topic with large records keep a store busy for long.
    bool hedgesCompleteReads { false };
};

struct RefreshIntervals {
    Common::Milliseconds configurationLongPoll { 0 }; // How long one read of the configuration waits for a change.
    // Age of the last confirmation from which a router that is not a store reader reads the store itself.
    Common::Milliseconds configurationStaleAfter { 0 };
    Common::Milliseconds upstreamInterval { 0 }; // Between two reads of the list of upstreams.
    Common::Milliseconds upstreamsStaleAfter { 0 }; // The same for the list of upstreams.
    Common::Milliseconds initialBackoff { 0 }; // Backoff after the first failed read; doubles with each further one.
    Common::Milliseconds maxBackoff { 0 };
    // Interval at which a router that relies on its peers checks whether its state is stale.
    Common::Milliseconds staleCheckInterval { minExchangeInterval };
    // A request is not sent by a list of this age while the list may be confirmed within `listRefreshTimeout`.
    Common::Milliseconds upstreamsMaxAge { Common::Milliseconds::max() };
    Common::Milliseconds listRefreshTimeout { 0 };
    // A hub without a response for this long is replaced.
    Common::Milliseconds hubResponseTimeout { OutstandingRequests::defaultResponseTimeout };
    // Longest interval at which a router requests snapshots.
    Common::Milliseconds longestExchangeInterval { maxExchangeInterval };
    StoreReadTimes configurationReads {};
    StoreReadTimes upstreamReads {};

    // `configurationBound` is the time after which a new configuration must be in force. `leavingBound` is the time
    // after which a leaving upstream must not receive new requests.
    static RefreshIntervals within(Common::Milliseconds configurationBound, Common::Milliseconds leavingBound);

    // Returns the exponential backoff of a store reader, which limits the load on a failing store. `failures` is the
    // number of consecutive failures, at least 1.
    Common::Milliseconds backoffAfter(unsigned failures) const;
    // Returns the backoff of a router that is not a store reader. Such a router reads the store only if its state from
    // other routers is stale. The backoff is longer from the second failure on, because many routers may read at once,
    // and the store readers pass on the state once the store recovers.
    Common::Milliseconds nonReaderBackoffAfter(unsigned failures) const;
};

// Starts at `initial` and doubles with each failure, up to `maxBackoff`.
Common::Milliseconds exponentialBackoff(
    Common::Milliseconds initial, Common::Milliseconds maxBackoff, unsigned failures);

// Shortens the backoff by up to a half at random, so that routers that failed together do not retry in step. `random`
// is uniformly distributed in [0, 1).
Common::Milliseconds jittered(Common::Milliseconds backoff, double random);

} // namespace Brassladder::RouteServing::Routing
