// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "Common/HttpServer.h"
#include "RouteServing/Routing/Prompt.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// How the callers and upstreams of one platform spell what the gateway means: names as data, what must be parsed as
// hooks. The gateway itself knows no header of any platform.
namespace Brassladder::RouteServing::Gateway {

struct CallerHeaders {
    std::string requestIdHeader; // Chosen by the caller, new for each of its attempts; passed on unchanged.
    std::string deadlineHeader; // Milliseconds that the caller will wait.
    std::string readinessPath;
    std::function<std::string_view(const Common::HttpRequest&)> key; // Empty when the request shows none.
    std::function<Routing::Prompt(const Common::HttpRequest&)> prompt; // Of a generation.
    std::function<std::string(Common::Milliseconds)> retryAfter; // The value of `Retry-After`.
};

struct UpstreamHeaders {
    std::string expectedInstanceHeader; // Another upstream at the same address refuses the request.
    std::string workspaceHeader;
    std::string priorityHeader;
    std::string executionProofHeader; // Stands in each answer that an upstream gives to a request that it ran.
    std::string lastEventHeader; // Where a stream is to be taken up.
    std::string replicaTargetHeader; // Address of another engine that is sent the run's memory as it grows.
    std::string replicaSourceHeader; // The copy that a run goes on from.
    std::function<std::string(const Common::Endpoint& holder, std::string_view requestId)> replicaName;
    unsigned lowestPriority { 9 };
    std::vector<std::string> withheldHeaders; // Of the caller, in lower case: never passed on.
    std::function<bool(const Common::HttpClientResponse&)> isNotExecuted;
    std::function<std::optional<Routing::ReportedLoad>(const Common::HttpClientResponse&)> load;
};

struct HeaderScheme {
    CallerHeaders caller;
    UpstreamHeaders upstream;
};

} // namespace Brassladder::RouteServing::Gateway
