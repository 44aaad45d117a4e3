// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/RouteTable.h"

#include <optional>

// Decides when a run's KV cache is replicated to a second engine while it grows.
namespace Brassladder::RouteServing::Routing {

// Tracks whether an engine failed in the middle of a response recently. Replicas cost transfers and memory, so they are
// kept only for some time after such a failure. Not thread-safe.
class MidStreamFailures {
public:
    void record(Common::TimePoint now) { m_last = now; }
    bool hasRecent(Common::TimePoint now) const;

private:
    std::optional<Common::TimePoint> m_last;
};

// Whether a run on this route gets a replica. Only long responses that must not run twice get one: a repeatable request
// can start over on another engine, and a short response ends before its replica is complete. `isDecodeHeavy` is the
// classification that the placement used. `engineReplicates` is whether the service's engines support replication.
// Pure.
bool shouldReplicate(const Route&, bool isDecodeHeavy, bool engineReplicates, bool midStreamFailuresAreLikely);

} // namespace Brassladder::RouteServing::Routing
