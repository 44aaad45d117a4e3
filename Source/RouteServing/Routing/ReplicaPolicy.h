// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Prompt.h"
#include "RouteServing/Routing/RouteTable.h"

#include <optional>

// When a run's KV cache is replicated to a second engine while it grows. Pure.
namespace Brassladder::RouteServing::Routing {

// Remembers whether an engine broke off in the middle of a response lately. Replicas cost transfers and memory, so they
// are kept only while such failures are likely to repeat. Not safe for several threads.
class MidStreamFailures {
public:
    void record(Common::TimePoint now) { m_last = now; }
    bool areLikely(Common::TimePoint now) const;

private:
    std::optional<Common::TimePoint> m_last;
};

// Whether a run on this route gets a replica. Only long responses that must not run twice: a repeatable request can
// start over elsewhere, and a short one is done before its replica is complete. `engineReplicates`: the service's
// engines support it.
bool shouldReplicate(const Route&, const Prompt&, bool engineReplicates, bool midStreamFailuresAreLikely);

} // namespace Brassladder::RouteServing::Routing
