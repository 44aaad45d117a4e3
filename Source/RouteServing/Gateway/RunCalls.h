// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "RouteServing/Routing/RunSign.h"

#include <functional>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Gateway {

// What an engine states about a run in response to a call.
struct RunStatement {
    Routing::RunSign sign { Routing::RunSign::Unstated };
    std::string copy; // Name of the copy of the run's KV cache at the destination; empty if there is none.
    std::string handle; // Names the KV cache of a stopped run at its engine; empty if the engine keeps none.
};

// Calls at an engine about one of its runs. An adapter fills them in, as it does the headers (HeaderScheme.h).
struct RunCalls {
    // Builds the call that stops the run of a request and copies its KV cache to the engine at `destination`.
    std::function<Common::HttpClientRequest(std::string_view requestId, const Common::Endpoint& destination)> stop;
    // Reads the response of the engine at `engine` to that call.
    std::function<RunStatement(const Common::HttpClientResponse&, const Common::Endpoint& engine)> statement;
    // Builds the call at the engine that frees the KV cache of a stopped run, and its copy.
    std::function<Common::HttpClientRequest(std::string_view handle)> release;
};

} // namespace Brassladder::RouteServing::Gateway
