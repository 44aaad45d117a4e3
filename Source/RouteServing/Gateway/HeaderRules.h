// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "Common/HttpServer.h"

#include <span>
#include <string>
#include <vector>

// Which headers are passed on between callers and upstreams. Those that concern one connection never are.
namespace Brassladder::RouteServing::Gateway {

// The request's headers for its upstream, without those of the names (in lower case) that are withheld.
std::vector<Common::HttpHeader> headersForUpstream(const Common::HttpRequest&, std::span<const std::string> withheld);

// The answer's headers for its caller.
std::vector<Common::HttpHeader> headersForCaller(const Common::HttpClientResponse&);

} // namespace Brassladder::RouteServing::Gateway
