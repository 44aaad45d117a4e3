// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "Common/HttpServer.h"
#include "RouteServing/Routing/Prompt.h"
#include "RouteServing/Routing/Upstream.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The HTTP headers that the callers and upstreams of one platform use: names as data, what must be parsed as hooks. An
// adapter fills it, so that the gateway itself knows no header of any platform.
namespace Brassladder::RouteServing::Gateway {

struct CallerHeaders {
    std::string requestIdHeader; // Chosen by the caller, new for each of its attempts; passed on unchanged.
    std::string deadlineHeader; // Milliseconds that the caller waits.
    std::string readinessPath; // Where the balancer asks for readiness.
    std::function<std::string_view(const Common::HttpRequest&)> key; // Empty when the request shows none.
    std::function<Routing::Prompt(const Common::HttpRequest&)> prompt; // Of a generation.
    std::function<std::string(Common::Milliseconds)> retryAfter; // The value of `Retry-After`.
};

struct UpstreamHeaders {
    std::string expectedInstanceHeader; // An upstream with another id refuses the request without running it.
    std::string workspaceHeader;
    std::string priorityHeader;
    std::string executionProofHeader; // In each response of an upstream that ran the request, except errors.
    std::string lastEventIdHeader; // Id of the last event that the caller has: the stream is resumed after it.
    std::string replicaTargetHeader; // Address of the engine that gets a replica of the run's KV cache as it grows.
    std::string prefixSourceHeader; // Address of the engine from which the cached prefix of the prompt is fetched.
    std::string replicaSourceHeader; // The replica from which a run continues.
    std::function<std::string(const Common::Endpoint& engine, std::string_view requestId)> replicaName;
    size_t priorityLevels { 1 }; // Values of the priority header, from 0, the most urgent.
    std::vector<std::string> withheldHeaders; // In lower case: headers of callers that are never passed on.
    std::function<bool(const Common::HttpClientResponse&)> isNotExecuted; // The upstream states that it did not run it.
    std::function<bool(const Common::HttpClientResponse&)> isFromOtherUpstream; // Another upstream has the address now.
    std::function<bool(const Common::HttpClientResponse&)> isLeaving; // The upstream says that it leaves.
    std::string limitHeader; // Requests a second that the upstream takes from all routers together.
    std::function<std::optional<Routing::ReportedLoad>(const Common::HttpClientResponse&)> load;
};

struct HeaderScheme {
    CallerHeaders caller;
    UpstreamHeaders upstream;
};

} // namespace Brassladder::RouteServing::Gateway
