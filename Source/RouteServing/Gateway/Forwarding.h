// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/HttpClient.h"
#include "Common/HttpServer.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Gateway/KvReplica.h"
#include "RouteServing/Routing/Admission.h"

#include <optional>

// Builds the request that is sent to an upstream, and the router's own responses to a caller.
namespace Brassladder::RouteServing::Gateway {

// The caller's request and what an attempt adds to it.
struct ForwardedRequest {
    const Common::HttpExchange& exchange; // Method, target, body and other headers are forwarded.
    std::string_view requestId;
    Common::TimePoint deadline;
    std::string_view expectedUpstream; // Id; another upstream at the same address refuses the request.
    const Routing::Workspace* workspace { nullptr };
    std::optional<size_t> priority; // Generations only; 0 is the most urgent.
    std::optional<Common::Endpoint> prefixSource; // Engine that caches the shared prefix of the prompt.
    std::optional<uint64_t> resumeAfterEvent;
    const KvReplica& replica;
};

Common::HttpClientRequest requestForUpstream(const HeaderScheme&, const ForwardedRequest&, Common::TimePoint now);

// Builds the response to a request that the router refuses. With `mayHaveRun`, the response states that the request may
// have run. It then has no `Retry-After` header, because a retry might run the request twice.
Common::HttpResponse refusalResponse(
    const HeaderScheme&, const Routing::Refusal&, bool mayHaveRun, const std::string& requestId);

} // namespace Brassladder::RouteServing::Gateway
