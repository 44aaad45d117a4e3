// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <optional>

// Decides when a router announces itself in the fleet's roster on the platform and when it reads the roster. Pure.
namespace Brassladder::RouteServing::Routing {

enum class RosterStep : uint8_t { Wait, Announce, Read };

// The input of nextRosterStep().
struct RosterSituation {
    bool isKnown { false }; // Read from the store, or received from a router that has it.
    bool awaitsRoster { false }; // The roster is expected from a seed (StartPhase).
    bool isAnnounced { false }; // The platform has this router's current address.
    bool isStoreReader { false }; // This router reads the store for other routers (HubRanking).
    unsigned reads { 0 }; // Reads by this router so far.
    std::optional<Common::Milliseconds> sinceLastRead;
};

// Each router announces itself once per address. It reads the roster only if no peer sent it. Afterwards only store
// readers read it and pass it on, so that the number of calls does not grow with the fleet.
RosterStep nextRosterStep(const RosterSituation&);

// Returns the interval between a store reader's reads. It is short after the first read, because other routers may have
// started at the same time, and doubles up to a maximum.
Common::Milliseconds rosterInterval(unsigned reads);

} // namespace Brassladder::RouteServing::Routing
