// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/ReplicaPolicy.h"

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// How long replicas are kept after an engine failed in the middle of a response.
// Replicas at all times cost 0.005 of the value on days without a crash (docs/DESIGN.md).
static constexpr Common::Milliseconds failureRetention = 60'000ms;

bool MidStreamFailures::hasRecent(Common::TimePoint now) const { return m_last && now - *m_last < failureRetention; }

bool shouldReplicate(const Route& route, bool isDecodeHeavy, bool engineReplicates, bool midStreamFailuresAreLikely)
{
    return engineReplicates && route.kind == RouteKind::Stream && !route.mayRepeat() && isDecodeHeavy
        && midStreamFailuresAreLikely;
}

} // namespace Brassladder::RouteServing::Routing
