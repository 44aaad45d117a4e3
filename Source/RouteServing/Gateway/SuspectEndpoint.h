// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpExchange.h"
#include "RouteServing/Routing/SuspectLedger.h"

#include <string_view>

// Endpoint for operators on the metrics address, authenticated by the fleet key: requests, and parts of prompts,
// suspected of crashing upstreams.
//
//     GET /suspects
//         {"suspects":[{identity, kind, state, workspace, target, crashes, in_turn, runs, trials, ...}]}
//     POST /suspects/lift?id=ID
//         An operator clears a request; the change reaches the whole fleet and the store.
namespace Brassladder::RouteServing::Gateway {

inline constexpr std::string_view suspectsPath = "/suspects";
inline constexpr std::string_view liftPath = "/suspects/lift";

// Responds with 401 without the key, and with 404 for an identity unknown to this router or another path.
void serveSuspects(Common::HttpExchange&, Routing::SuspectLedger&, std::string_view fleetKey);

} // namespace Brassladder::RouteServing::Gateway
