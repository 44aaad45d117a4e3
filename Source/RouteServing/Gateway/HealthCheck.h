// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Routing/Upstream.h"

#include <string>

namespace Brassladder::RouteServing::Gateway {

// Sends a health check and returns whether the response names another upstream than the expected one, as it does after
// the address was reused. Returns false if there is no response within the timeout.
bool isAnsweredByOtherUpstream(Common::HttpConnection&, const Routing::UpstreamRecord& expected,
    const std::string& healthPath, const UpstreamHeaders&, Common::Milliseconds timeout);

} // namespace Brassladder::RouteServing::Gateway
