// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>

// The fleet's roster as routers pass it on to each other. A router that starts would otherwise read all of it from the
// platform's store: calls that grow with the square of the fleet when all start at once. Pure.
namespace Brassladder::RouteServing::Routing {

// One router of the fleet.
struct RosterEntry {
    std::string id;
    Common::Endpoint endpoint; // Where its peers connect.
    uint64_t version { 0 }; // Rises with each announcement of the id on the platform; 0 before the first.
    bool operator==(const RosterEntry&) const = default;
};

// How far another process's roster was received. Its revisions start again with its process.
struct RosterPosition {
    uint64_t incarnation { 0 };
    uint64_t revision { 0 };

    // The revision up to which that process need not send its roster.
    uint64_t revisionOf(uint64_t process) const { return process == incarnation ? revision : 0; }
    // Entries between two of its revisions were received. Nothing is noted when some before them are missing.
    void advance(uint64_t process, uint64_t after, uint64_t to);
};

// How far this router's roster was sent to a peer: a part is not sent again while it may still be in flight. Not safe
// for several threads.
class RosterCursor {
public:
    // The revision after which entries must be sent now; the rest up to `newest` counts as in flight from then on.
    // `acknowledged`: what the peer says that it has.
    uint64_t beginSend(uint64_t acknowledged, uint64_t newest, Common::TimePoint now);
    // What was in flight is lost.
    void forget() { m_at.reset(); }

private:
    uint64_t m_sent { 0 };
    std::optional<Common::TimePoint> m_at;
};

} // namespace Brassladder::RouteServing::Routing
