// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>

// The fleet's roster, which routers pass on to each other. If each starting router read all of it from the platform's
// store instead, the calls at a simultaneous start of all routers would grow with the square of the fleet. Pure.
namespace Brassladder::RouteServing::Routing {

struct RosterEntry {
    std::string id;
    Common::Endpoint endpoint; // Where peers connect to the router.
    uint64_t version { 0 }; // Increases with each announcement of the id on the platform; 0 before the first.
    unsigned capacity { 0 }; // Processor share of the router's instance, in thousandths of a core; 0 if unknown.
    bool operator==(const RosterEntry&) const = default;
};

// How far another process's roster was received. The revisions start again with each process.
struct RosterPosition {
    uint64_t incarnation { 0 };
    uint64_t revision { 0 };

    // Returns the revision up to which the roster of `process` was received.
    uint64_t revisionOf(uint64_t process) const { return process == incarnation ? revision : 0; }
    // Records that the entries after revision `after`, up to `to`, were received. Does nothing if entries before them
    // are missing.
    void advance(uint64_t process, uint64_t after, uint64_t to);
};

// How far this router's roster was sent to a peer. A part is not sent again while it may still be in flight. Not
// thread-safe.
class RosterCursor {
public:
    // Returns the revision after which entries must be sent now, and records the entries up to `newest` as in flight.
    // `acknowledged` is the revision that the peer reports.
    uint64_t beginSend(uint64_t acknowledged, uint64_t newest, Common::TimePoint now);
    // Marks what was in flight as lost.
    void forget() { m_at.reset(); }

private:
    uint64_t m_sent { 0 };
    std::optional<Common::TimePoint> m_at;
};

} // namespace Brassladder::RouteServing::Routing
