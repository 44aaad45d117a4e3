// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/HttpClient.h"
#include "Common/HttpServer.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// Selects the headers that are forwarded between callers and upstreams: all except hop-by-hop headers
// (Common/HopByHop.h) and, towards upstreams, those that the router sets itself or withholds.
namespace Brassladder::RouteServing::Gateway {

// Returns the request's headers for its upstream. `withheld`: names in lower case that are left out.
std::vector<Common::HttpHeader> headersForUpstream(const Common::HttpRequest&, std::span<const std::string> withheld);

// Parses a value that begins with a positive whole number of milliseconds; returns nullopt for any other value.
std::optional<Common::Milliseconds> parseMilliseconds(std::string_view);

// Returns the response's headers for its caller.
std::vector<Common::HttpHeader> headersForCaller(const Common::HttpClientResponse&);

} // namespace Brassladder::RouteServing::Gateway
