// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Inner.pb.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <optional>
#include <vector>

// Between the messages of routers (Inner/Inner.proto) and what the board knows.
namespace Brassladder::RouteServing::Gateway {

// An age as it travels. What was never confirmed is as old as the clock, which may not fit: it stays as old as fits.
uint32_t encodeAge(Common::Milliseconds);

// Upstreams without requests are left out.
void encodeLoads(const Routing::LoadsByUpstream&, Inner::Wire::LoadTable&);
// Nothing when the columns do not fit each other.
Routing::LoadsByUpstream decodeLoads(const Inner::Wire::LoadTable&);

void encodeUpstream(const Routing::UpstreamRecord&, Inner::Wire::UpstreamEntry&);
// None when the message carries no list. Entries without an address are left out.
std::optional<std::vector<Routing::UpstreamRecord>> decodeUpstreams(const Inner::Wire::Knowledge&);

} // namespace Brassladder::RouteServing::Gateway
