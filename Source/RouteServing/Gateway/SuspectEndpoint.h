// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpExchange.h"
#include "RouteServing/Routing/SuspectLedger.h"

#include <string_view>

// For operators, on the metrics address, with the fleet's key: which requests are suspected of crashing upstreams.
//
//     GET /suspects              {"suspects":[{identity, state, workspace, target, crashes, in_turn, runs, trials,
//     ...}]} POST /suspects/lift?id=ID  an operator vouches for a request; the fleet follows, and the store
namespace Brassladder::RouteServing::Gateway {

inline constexpr std::string_view suspectsPath = "/suspects";
inline constexpr std::string_view liftPath = "/suspects/lift";

// 401 without the key, 404 for an identity that is not known here or another path.
void serveSuspects(Common::HttpExchange&, Routing::SuspectLedger&, std::string_view fleetKey);

} // namespace Brassladder::RouteServing::Gateway
