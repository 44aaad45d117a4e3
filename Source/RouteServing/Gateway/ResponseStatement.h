// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Routing/SendQuotas.h"
#include "RouteServing/Routing/Upstream.h"
#include "RouteServing/Routing/UpstreamStatements.h"

#include <string_view>

// Reads what a response states about the upstream that sent it, independent of the outcome of the request.
namespace Brassladder::RouteServing::Gateway {

// Reads the statement from the response head. `Retry-After` in a 503 or 429 response requests a cooldown; an invalid
// value is logged and ignored. Returns an empty statement if another upstream sent the response.
Routing::UpstreamStatement statementOf(const UpstreamHeaders&, const Common::HttpClientResponse&);

// Reads the limit for all routers together. The lowest one applies if the response states several; the statement is
// empty if it states none. Returns nullopt if another upstream sent the response, or if every stated limit is invalid.
// Invalid limits are logged.
std::optional<Routing::RateStatement> limitStatementOf(const UpstreamHeaders&, const Common::HttpClientResponse&);

// The same for the rejections per second that a fragile upstream tolerates from all routers together.
std::optional<Routing::RateStatement> toleranceStatementOf(const UpstreamHeaders&, const Common::HttpClientResponse&);

// Logs and counts a change of an upstream's limit.
void reportLimit(const Routing::UpstreamRecord&, const Routing::RateStatement&, Routing::StatementChange,
    std::string_view requestId);

// Logs and counts a change of what a fragile upstream tolerates.
void reportTolerance(const Routing::UpstreamRecord&, const Routing::RateStatement&, Routing::StatementChange,
    std::string_view requestId);

// Counts and logs the statements of a response that this router does not act on, at most one line per second. Such a
// statement asks for something that the fleet does not do.
void reportUnreadStatements(const UpstreamHeaders&, const Common::HttpClientResponse&, const Routing::UpstreamRecord&);

// Logs and counts a new statement. `requestId`: the request that the upstream responded to.
void reportStatement(const Routing::UpstreamRecord&, const Routing::UpstreamStatement&, std::string_view requestId);

} // namespace Brassladder::RouteServing::Gateway
