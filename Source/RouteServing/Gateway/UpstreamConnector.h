// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <functional>
#include <memory>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// Opens connections to upstreams. Thread-safe.
class UpstreamConnector {
public:
    // Opens the connection to the endpoint. Returns an error that carries `Ran::No` if that fails.
    using OpenDirect
        = std::function<Common::Status(Common::HttpConnection&, const Common::Endpoint&, Common::Milliseconds timeout)>;

    struct Result {
        std::unique_ptr<Common::HttpConnection> connection; // Null if none was established.
        Common::ConnectionEnd end { Common::ConnectionEnd::None }; // Of the connection that failed.
        std::string problem;
    };

    UpstreamConnector();

    // Must be set before the first connection is opened.
    void setOpenDirect(OpenDirect hook) { m_openDirect = std::move(hook); }

    Result connect(const Routing::UpstreamRecord&, Common::Milliseconds timeout);

private:
    OpenDirect m_openDirect;
};

} // namespace Brassladder::RouteServing::Gateway
