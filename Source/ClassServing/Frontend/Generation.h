// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Frontend/AttemptLoop.h"
#include "ClassServing/Upstream/EngineStream.h"

#include <string>

namespace Brassladder::ClassServing::Frontend {

// The response to one chat request, across all attempts and pauses. Relays tokens as they arrive, or collects them if
// the caller did not request a stream. Not thread-safe; used by the fiber of its request.
class Generation {
public:
    Generation(RequestContext& context, std::string body, bool streaming, const Upstream::UpstreamTimeouts& timeouts)
        : m_context(context)
        , m_body(std::move(body))
        , m_streaming(streaming)
        , m_timeouts(timeouts)
    {
    }

    // Makes one attempt at the engine, or resumes the generation that is paused there. Suspends the calling fiber.
    AttemptResult runOnEngine(const Membership::Upstream&);
    // Ends the response with the end marker of the stream or, without streaming, sends the whole text.
    void finishResponse();
    // Responds with an error. If the stream has begun, sends an error event and no end marker.
    void finishWithError(const Common::Error&);
    uint32_t tokens() const { return m_tokens; } // Of the current attempt, including its pauses.

private:
    std::optional<Common::Error> open(Upstream::EngineStream&);
    AttemptResult relay(Upstream::EngineStream&);
    bool relayToken(const Upstream::Token&); // Returns false if the caller has disconnected.
    AttemptResult failedResult(const Common::Error&);
    Common::HttpResponse responseHead(std::string contentType) const;

    RequestContext& m_context;
    std::string m_body;
    bool m_streaming;
    Upstream::UpstreamTimeouts m_timeouts;
    uint32_t m_tokens { 0 };
    bool m_paused { false };
    bool m_hasFirstToken { false };
    std::string m_text;
    std::string m_finishReason { "stop" };
    Common::TimePoint m_firstToken;
    Common::TimePoint m_lastToken;
};

} // namespace Brassladder::ClassServing::Frontend
