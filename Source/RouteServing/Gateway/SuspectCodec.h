// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Inner.pb.h"
#include "RouteServing/Routing/Suspect.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Encodes and decodes suspects for messages between routers (Inner/Inner.proto) and for the platform's store. Times are
// encoded as ages, because the steady clocks of instances are unrelated. A stored suspect also has the Unix time of
// its write.
namespace Brassladder::RouteServing::Gateway {

void encodeSuspects(std::span<const Routing::SuspectRecord>, Inner::Wire::SuspectTable&, Common::TimePoint now);
// Skips entries without a run, a clearance or a trial.
std::vector<Routing::SuspectRecord> decodeSuspects(const Inner::Wire::SuspectTable&, Common::TimePoint now);

// A suspect as it is stored, with the claim of the router that runs it exclusively.
struct StoredSuspect {
    Routing::SuspectRecord record;
    std::string claimedBy; // Id of a router; empty if there is no claim.
    Common::Milliseconds claimedUntil { 0 }; // Unix time.
};

// One instant on the steady clock, to which ages refer, and as Unix time.
struct ClockReading {
    Common::TimePoint steady;
    Common::Milliseconds unixTime { 0 };

    static ClockReading now();
};

std::string encodeStoredSuspect(const StoredSuspect&, const ClockReading&);
// Returns nullopt if the bytes are not a valid record.
std::optional<StoredSuspect> decodeStoredSuspect(std::string_view, const ClockReading&);

} // namespace Brassladder::RouteServing::Gateway
