// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/RosterDuty.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Interval after the first read. Longer than the time within which the routers of a fleet start together.
static constexpr Common::Milliseconds initialInterval = 1000ms;
// A long interval suffices, because a router that starts between two reads contacts a peer and becomes known without a
// read.
static constexpr Common::Milliseconds maxInterval = 6000ms;

Common::Milliseconds rosterInterval(unsigned reads)
{
    auto interval = initialInterval;
    for (unsigned read = 1; read < reads && interval < maxInterval; ++read)
        interval *= 2;
    return std::min(interval, maxInterval);
}

RosterStep nextRosterStep(const RosterSituation& situation)
{
    if (!situation.isKnown && situation.awaitsRoster)
        return RosterStep::Wait;
    // Announcing comes before the first read: if two routers start together, at least one sees the other.
    if (!situation.isAnnounced)
        return RosterStep::Announce;
    if (!situation.isKnown)
        return RosterStep::Read;
    bool isDue = !situation.sinceLastRead || *situation.sinceLastRead >= rosterInterval(situation.reads);
    return situation.isStoreReader && isDue ? RosterStep::Read : RosterStep::Wait;
}

} // namespace Brassladder::RouteServing::Routing
