// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <optional>

// What a router owes the fleet's roster on the platform, and when it reads it. Pure.
namespace Brassladder::RouteServing::Routing {

enum class RosterStep : uint8_t { Wait, Announce, Read };

// What the step follows from.
struct RosterSituation {
    bool isKnown { false }; // The roster was read, or received from a router that knows it.
    bool awaitsPeers { false }; // It is expected from another router (StartPhase).
    bool isAnnounced { false }; // The platform has this router's present address.
    bool isStoreReader { false }; // It reads the store for others (HubRanking).
    unsigned reads { 0 }; // By this router so far.
    std::optional<Common::Milliseconds> sinceLastRead;
};

// One announcement for each router that has not been at its address before, and no read but those of store readers,
// which pass on what they read: with every hub as reader and each start reading, calls grew with the fleet and with its
// square root times the day's length.
RosterStep nextRosterStep(const RosterSituation&);

// Between a store reader's reads: a second after its first one, when others may have started with it, and longer each
// time.
Common::Milliseconds rosterInterval(unsigned reads);

} // namespace Brassladder::RouteServing::Routing
