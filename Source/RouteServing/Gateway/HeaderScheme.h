// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "Common/HttpServer.h"
#include "RouteServing/Gateway/RunCalls.h"
#include "RouteServing/Routing/Prompt.h"
#include "RouteServing/Routing/Upstream.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// The HTTP headers that the callers and upstreams of one platform use: their names, and hooks that parse or format
// them, and the calls at its engines. An adapter fills in this scheme; the gateway itself contains no platform-specific
// name.
namespace Brassladder::RouteServing::Gateway {

struct CallerHeaders {
    std::string requestIdHeader; // Chosen by the caller, unique to each of its attempts; forwarded unchanged.
    std::string deadlineHeader; // The caller's timeout in milliseconds.
    // Id of the caller's attempt that brought the first event of the stream that this request takes up.
    std::string resumedAttemptHeader;
    std::string readinessPath; // Path of the balancer's readiness check.
    std::function<std::string_view(const Common::HttpRequest&)> key; // Empty if the request has no key.
    std::function<Routing::Prompt(const Common::HttpRequest&)> prompt; // Generations only.
    std::function<std::string(Common::Milliseconds)> retryAfter; // Formats the value of `Retry-After`.
};

struct UpstreamHeaders {
    std::string expectedInstanceHeader; // An upstream with another id refuses the request without running it.
    std::string instanceIdHeader; // Id of the upstream, in its responses to health checks.
    std::string workspaceHeader;
    std::string priorityHeader;
    std::string executionProofHeader; // In each response of an upstream that ran the request, except in errors.
    std::string lastEventIdHeader; // Id of the last event that the caller has received; the stream resumes after it.
    std::string replicaTargetHeader; // Address of the engine that receives a replica of the run's KV cache.
    std::string prefixSourceHeader; // Address of the engine from which the cached prefix of the prompt is fetched.
    std::string replicaSourceHeader; // Name of the replica from which a run continues.
    std::function<std::string(const Common::Endpoint& engine, std::string_view requestId)> replicaName;
    size_t priorityLevels { 1 }; // Number of values of the priority header; 0 is the most urgent.
    std::vector<std::string> withheldHeaders; // In lower case: caller headers that are never forwarded.
    std::function<bool(const Common::HttpClientResponse&)> isNotExecuted; // States that the request did not run.
    std::function<bool(const Common::HttpClientResponse&)> isFromOtherUpstream; // Was sent by another upstream.
    std::function<bool(const Common::HttpClientResponse&)> isLeaving; // The upstream states that it is leaving.
    std::string limitHeader; // Requests per second that the upstream accepts from all routers together.
    std::string toleranceHeader; // Rejections per second, of requests from all routers together, that it survives.
    std::function<std::optional<Routing::ReportedLoad>(const Common::HttpClientResponse&)> load;
    // Headers whose names begin with this prefix state something about the upstream.
    std::string statementPrefix;
    std::vector<std::string> readStatements; // Those that this router acts on.
};

struct HeaderScheme {
    CallerHeaders caller;
    UpstreamHeaders upstream;
    RunCalls runs;
};

} // namespace Brassladder::RouteServing::Gateway
