// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "Common/HttpServer.h"

#include <span>
#include <string>
#include <vector>

// Which headers are passed on between callers and upstreams: all but those of a single connection (Common/HopByHop.h)
// and, towards upstreams, those that the router sets or hides itself.
namespace Brassladder::RouteServing::Gateway {

// The request's headers for its upstream. `withheld`: names in lower case that are left out.
std::vector<Common::HttpHeader> headersForUpstream(const Common::HttpRequest&, std::span<const std::string> withheld);

// The response's headers for its caller.
std::vector<Common::HttpHeader> headersForCaller(const Common::HttpClientResponse&);

} // namespace Brassladder::RouteServing::Gateway
