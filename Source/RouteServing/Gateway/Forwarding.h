// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/HttpClient.h"
#include "Common/HttpServer.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Gateway/KvReplica.h"
#include "RouteServing/Routing/Admission.h"

#include <optional>

// Builds what is sent on: the request for an upstream, and the router's own responses for a caller.
namespace Brassladder::RouteServing::Gateway {

// What an attempt adds to the caller's request.
struct ForwardedRequest {
    const Common::HttpExchange& exchange; // Method, target, body and other headers pass through.
    std::string_view requestId;
    Common::TimePoint deadline;
    std::string_view expectedUpstream; // Id; another upstream at the address must not run the request.
    const Routing::Workspace* workspace { nullptr };
    std::optional<size_t> priority; // Of a generation; 0 is the most urgent.
    std::optional<Common::Endpoint> prefixSource; // The engine that has the shared prefix of the prompt cached.
    std::optional<uint64_t> resumeAfterEvent;
    const KvReplica& replica;
};

Common::HttpClientRequest requestForUpstream(const HeaderScheme&, const ForwardedRequest&, Common::TimePoint now);

// The response for a request that the router refuses. `mayHaveRun`: nothing promises that the request did not run, and
// no time to come back is given, because repeating it might run it twice.
Common::HttpResponse refusalResponse(
    const HeaderScheme&, const Routing::Refusal&, bool mayHaveRun, const std::string& requestId);

} // namespace Brassladder::RouteServing::Gateway
