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

// Which headers are passed on between callers and upstreams: all but those of a single connection (Common/HopByHop.h)
// and, towards upstreams, those that the router sets or hides itself.
namespace Brassladder::RouteServing::Gateway {

// The request's headers for its upstream. `withheld`: names in lower case that are left out.
std::vector<Common::HttpHeader> headersForUpstream(const Common::HttpRequest&, std::span<const std::string> withheld);

// A header's value that begins with a whole number of milliseconds above zero; none when it begins with anything else.
std::optional<Common::Milliseconds> parseMilliseconds(std::string_view);

// The response's headers for its caller.
std::vector<Common::HttpHeader> headersForCaller(const Common::HttpClientResponse&);

} // namespace Brassladder::RouteServing::Gateway
