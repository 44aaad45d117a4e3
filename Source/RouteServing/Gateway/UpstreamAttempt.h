// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Routing/AttemptOutcome.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <memory>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// One attempt to serve a request at one upstream: connects, sends, checks that the response belongs to the request, and
// records load and outcome in the registry for as long as it lives. Belongs to one fiber; `cancel` may be called by
// another one of the same thread.
class UpstreamAttempt {
public:
    struct Options {
        std::string_view requestId;
        Common::Milliseconds connectTimeout { 200 };
        Common::Milliseconds maxIdleTime { 1000 }; // Of an idle connection that may carry the request.
    };

    UpstreamAttempt(const HeaderScheme&, Routing::UpstreamRegistry&, Routing::UpstreamRegistry::Placement);
    ~UpstreamAttempt();
    UpstreamAttempt(const UpstreamAttempt&) = delete;
    UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

    // Sends the request, unless the upstream has asked for rest meanwhile, and reads the response head. With `Answered`
    // and `ServerError`, `response` is the head of the response to this very request, and its body can be read.
    Routing::AttemptOutcome start(const Common::HttpClientRequest&, const Options&);
    Routing::AttemptOutcome outcome() const { return m_outcome; }
    bool hasEvents() const { return m_isPrefillDone; }
    const Common::HttpClientResponse& response() const { return m_response; }
    // What went wrong, for logs and error messages.
    const std::string& problem() const { return m_problem; }
    // How the upstream, or the way to it, ended the connection.
    Common::ConnectionEnd connectionEnd() const { return m_connectionEnd; }
    const Routing::UpstreamRecord& upstream() const { return m_placement.upstream; }

    // The next piece of the body; empty at its end. An error, and the outcome Interrupted, when it ended early.
    Common::Result<std::string_view> readPiece();
    // The whole body, up to `limit` bytes; errors as above.
    Common::Result<std::string> readBody(size_t limit);
    // The first event is here, so the engine's prefill is done.
    void recordPrefillDone();
    // The whole response was read: the connection becomes idle and may be used again.
    void releaseConnection();

    void cancel();

private:
    bool connect(const Options&);
    // The only place from which a request goes to an upstream.
    Common::Result<Common::HttpClientResponse> send(const Common::HttpClientRequest&, Routing::SendPermit);
    // What the response states of its upstream holds whatever becomes of the request.
    void recordStatement(std::string_view requestId);
    void recordLimit(std::string_view requestId);
    Routing::AttemptOutcome withhold();
    Routing::AttemptOutcome checkResponseHead(std::string_view requestId);
    Routing::AttemptOutcome breakOff(std::string problem);

    const HeaderScheme& m_headers;
    Routing::UpstreamRegistry& m_registry;
    Routing::UpstreamRegistry::Placement m_placement;
    std::unique_ptr<Common::HttpConnection> m_connection;
    Common::HttpClientResponse m_response;
    Common::TimePoint m_sent {};
    std::string m_problem;
    Routing::AttemptOutcome m_outcome { Routing::AttemptOutcome::CancelledBeforeSending };
    Common::ConnectionEnd m_connectionEnd { Common::ConnectionEnd::None };
    bool m_isPrefillDone { false };
    bool m_isCancelled { false };
};

} // namespace Brassladder::RouteServing::Gateway
