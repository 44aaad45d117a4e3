// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Inner.pb.h"
#include "RouteServing/Routing/Suspect.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Encodes and decodes suspects, between routers (Inner/Inner.proto) and for the platform's store. Times travel as ages,
// since the clocks of instances are not compared; in the store, with the time of day at which they were written.
namespace Brassladder::RouteServing::Gateway {

void encodeSuspects(std::span<const Routing::SuspectRecord>, Inner::Wire::SuspectTable&, Common::TimePoint now);
// Entries without a run, a clearance or a trial are left out.
std::vector<Routing::SuspectRecord> decodeSuspects(const Inner::Wire::SuspectTable&, Common::TimePoint now);

// A suspect as it is stored, and who runs it alone.
struct StoredSuspect {
    Routing::SuspectRecord record;
    std::string claimedBy; // Id of a router; empty when none.
    Common::Milliseconds claimedUntil { 0 }; // Time of day, since the start of 1970.
};

// One moment by the clock that ages are counted by, and by the time of day since the start of 1970.
struct ClockReading {
    Common::TimePoint steady;
    Common::Milliseconds timeOfDay { 0 };

    static ClockReading now();
};

std::string encodeStoredSuspect(const StoredSuspect&, const ClockReading&);
// None when the bytes are no such record.
std::optional<StoredSuspect> decodeStoredSuspect(std::string_view, const ClockReading&);

} // namespace Brassladder::RouteServing::Gateway
