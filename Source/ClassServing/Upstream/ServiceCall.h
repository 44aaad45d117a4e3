// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Upstream/EngineStream.h"
#include "Common/HttpClient.h"

namespace Brassladder::ClassServing::Upstream {

// One call of a plain service. Used by its request's fiber; `cancel` may be called from other fibers of the same
// thread.
class ServiceCall {
public:
    ServiceCall(Common::Endpoint service, std::string requestId)
        : m_service(std::move(service))
        , m_requestId(std::move(requestId))
    {
    }

    // Sets a hook that is called before memory is allocated for the response; false if there is none.
    void setReserve(Common::HttpConnection::Reserve reserve) { m_reserve = std::move(reserve); }
    // Returns the complete response with any status, or UpstreamRefused if the service states that the request did not
    // run.
    Common::Result<Common::HttpClientResponse> run(
        const Common::HttpRequest&, std::string_view target, bool mayRepeat, const UpstreamTimeouts&);
    // Closes the connection. If the connect is still in progress, the request is not sent.
    void cancel();

private:
    Common::Endpoint m_service;
    std::string m_requestId;
    std::unique_ptr<Common::HttpConnection> m_connection;
    Common::HttpConnection::Reserve m_reserve;
    bool m_cancelled { false };
};

// Returns the response headers to forward to the caller, without hop-by-hop headers and the router's own headers.
std::vector<Common::HttpHeader> headersForCaller(const Common::HttpClientResponse&);

} // namespace Brassladder::ClassServing::Upstream
