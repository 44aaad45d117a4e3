// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Inner/Inner.pb.h"
#include "RouteServing/Routing/Roster.h"
#include "RouteServing/Routing/UpstreamListDigest.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

// Encodes and decodes the messages of PeerExchange (Inner/Inner.proto). Some message and field names differ from the
// terms of the code: `Knowledge` is a snapshot, `KnowledgeAsk` is a request for one, `writers` counts decode-heavy
// generations, `unread_tokens` counts tokens that wait for prefill, and `unread_rates` divides each of these tokens by
// the objective of its route.
namespace Brassladder::RouteServing::Gateway {

// Returns the age in milliseconds, clamped to the range of the type. The maximum stands for "never confirmed".
uint32_t encodeAge(Common::Milliseconds);
// Returns the time of confirmation, which is `ageMs` before `now`. The maximum age stands for "never confirmed" and
// decodes to TimePoint::min().
Common::TimePoint decodeAge(uint32_t ageMs, Common::TimePoint now);

// Encode the time of an event as its age plus one, where zero stands for an event that never happened
// (TimePoint::min()) and takes a single byte.
uint32_t encodeEventTime(Common::TimePoint at, Common::TimePoint now);
Common::TimePoint decodeEventTime(uint32_t age, Common::TimePoint now);
// Assumed upper bound for the transit time of a message between routers. It is subtracted from the time of receipt of a
// message without a request before ages are decoded. Otherwise a time that routers forward to each other would become
// later with each hop.
inline constexpr Common::Milliseconds maxTransitTime { 250 };
// Rates that upstreams state (Routing/StatedRate.h) are sent in thousandths, to which roundedRate() rounds them.
inline constexpr double encodedUnitsPerRate = 1000;

// Omits upstreams without requests.
void encodeLoads(const Routing::LoadsByUpstream&, Inner::Wire::LoadTable&);
// Logs a warning and returns an empty result if the columns have different lengths.
Routing::LoadsByUpstream decodeLoads(const Inner::Wire::LoadTable&);

// The remaining time of a cold upstream is relative to `now`.
void encodeUpstream(const Routing::UpstreamRecord&, Common::TimePoint now, Inner::Wire::UpstreamEntry&);
// Encodes a complete list and compresses it.
std::string packUpstreams(std::span<const Routing::UpstreamRecord>, Common::TimePoint now);
// Encodes the difference between two lists and compresses it.
std::string packUpstreamChanges(const Routing::UpstreamListChanges&, Common::TimePoint now);
// Returns nullopt if the snapshot carries no list, or an unreadable one. Skips entries with an invalid address. Logs a
// warning for each of these errors.
std::optional<std::vector<Routing::UpstreamRecord>> decodeUpstreams(
    const Inner::Wire::Knowledge&, Common::TimePoint now);
// Returns nullopt if the snapshot carries no difference, or an unreadable one, which is logged.
std::optional<Routing::UpstreamListChanges> decodeUpstreamChanges(const Inner::Wire::Knowledge&, Common::TimePoint now);

// Encodes roster entries and compresses them.
std::string encodeRoster(std::span<const Routing::RosterEntry>);
// Skips entries with an invalid address. Returns an empty list if the bytes are unreadable or the columns have
// different lengths. Logs a warning in both cases.
std::vector<Routing::RosterEntry> decodeRoster(std::string_view packed);

// Returns the text of the configuration, decompressed if necessary, or an empty string if the snapshot carries none.
// Returns an error if a compressed text is unreadable.
Common::Result<std::string> decodeConfiguration(const Inner::Wire::Knowledge&);

} // namespace Brassladder::RouteServing::Gateway
