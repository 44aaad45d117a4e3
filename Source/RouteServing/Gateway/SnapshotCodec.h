// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Inner/Inner.pb.h"
#include "RouteServing/Routing/Roster.h"
#include "RouteServing/Routing/Upstream.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

// Encodes and decodes the messages of PeerExchange (Inner/Inner.proto). The messages keep the names of earlier
// versions: `Knowledge` is a snapshot, `KnowledgeAsk` the request for one; `writers` are decode-heavy generations,
// `unread_tokens` the tokens that wait for their prefill.
namespace Brassladder::RouteServing::Gateway {

// An age in milliseconds. One that does not fit, such as that of something never confirmed, becomes the largest that
// fits.
uint32_t encodeAge(Common::Milliseconds);
// The moment that something of this age was confirmed at, when it was that old at `now`. The earliest time for what was
// never confirmed: it must not count as confirmed long ago.
Common::TimePoint decodeAge(uint32_t ageMs, Common::TimePoint now);

// Upstreams without requests are left out.
void encodeLoads(const Routing::LoadsByUpstream&, Inner::Wire::LoadTable&);
// Empty, with a log line, when the columns have different lengths.
Routing::LoadsByUpstream decodeLoads(const Inner::Wire::LoadTable&);

void encodeUpstream(const Routing::UpstreamRecord&, Inner::Wire::UpstreamEntry&);
// A whole list, deflated.
std::string packUpstreams(std::span<const Routing::UpstreamRecord>);
// None when the snapshot carries no list, or an unreadable one. Entries without a usable address are left out, with a
// log line.
std::optional<std::vector<Routing::UpstreamRecord>> decodeUpstreams(const Inner::Wire::Knowledge&);

// Entries of the roster, deflated: ids and addresses are much alike, so that little is left of them.
std::string encodeRoster(std::span<const Routing::RosterEntry>);
// Entries without a usable address are left out, with a log line; none at all, also with one, when the bytes are
// unreadable or columns have different lengths.
std::vector<Routing::RosterEntry> decodeRoster(std::string_view packed);

// The text of the configuration, plain or packed; empty when the snapshot carries none. An error tells why a packed one
// is unreadable.
Common::Result<std::string> decodeConfiguration(const Inner::Wire::Knowledge&);

} // namespace Brassladder::RouteServing::Gateway
