// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpClient.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Routing/Fate.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <memory>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// One try of a request at one upstream: connects, sends, checks that the answer belongs to the request, and tells the
// board how it went. Belongs to one fiber; `cancel` may be called by another one of the same thread.
class UpstreamAttempt {
public:
    struct Terms {
        std::string_view requestId;
        Common::Milliseconds connectTimeout { 200 };
        Common::Milliseconds maxIdleTime { 1000 }; // Of a kept connection that may carry the request.
    };

    UpstreamAttempt(const HeaderScheme&, Routing::UpstreamRegistry&, Routing::UpstreamRegistry::Placement);
    ~UpstreamAttempt();
    UpstreamAttempt(const UpstreamAttempt&) = delete;
    UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;

    // Sends the request and reads the head of the answer. `Ran`: `head` is the answer to this very request.
    Routing::Fate start(const Common::HttpClientRequest&, const Terms&);
    const Common::HttpClientResponse& head() const { return m_head; }
    const std::string& problem() const { return m_problem; }
    const Routing::UpstreamRecord& upstream() const { return m_choice.upstream; }

    // The next piece of the body; empty at its end. An error when the answer broke off.
    Common::Result<std::string_view> readPiece();
    Common::Result<std::string> readBody(size_t limit);
    // The engine has read the prompt.
    void recordPrefillDone();
    // The whole answer is here: the connection is kept for others.
    void finish();

    void cancel();

private:
    bool connect(const Terms&);
    Routing::Fate checkResponseHead(std::string_view requestId);
    Routing::Fate broken(std::string problem);

    const HeaderScheme& m_headers;
    Routing::UpstreamRegistry& m_registry;
    Routing::UpstreamRegistry::Placement m_choice;
    std::unique_ptr<Common::HttpConnection> m_connection;
    Common::HttpClientResponse m_head;
    std::string m_problem;
    Routing::TryOutcome m_outcome { Routing::TryOutcome::Withdrawn };
    bool m_prefillDone { false };
    bool m_cancelled { false };
};

} // namespace Brassladder::RouteServing::Gateway
