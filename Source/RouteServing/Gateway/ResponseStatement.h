// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Routing/SendQuotas.h"
#include "RouteServing/Routing/Upstream.h"
#include "RouteServing/Routing/UpstreamStatements.h"

#include <string_view>

// What a response says of the upstream that sent it, whatever it says of the request.
namespace Brassladder::RouteServing::Gateway {

// Reads it from the response's head. A rest is read from `Retry-After` in any 503 or 429; one that cannot be read is
// logged and asks for none. Empty when another upstream has sent the response.
Routing::UpstreamStatement statementOf(const UpstreamHeaders&, const Common::HttpClientResponse&);

// What it says of the limit for all routers together: the lowest one that it names, or that there is none. Nothing when
// another upstream has sent the response, or it names one that cannot be read, which is logged.
std::optional<Routing::LimitStatement> limitStatementOf(const UpstreamHeaders&, const Common::HttpClientResponse&);

// Logs and counts what is news of a limit.
void reportLimit(const Routing::UpstreamRecord&, const Routing::LimitStatement&, Routing::SendQuotas::LimitChange,
    std::string_view requestId);

// Logs and counts a statement that is news. `requestId`: the request that the upstream responded to.
void reportStatement(const Routing::UpstreamRecord&, const Routing::UpstreamStatement&, std::string_view requestId);

} // namespace Brassladder::RouteServing::Gateway
