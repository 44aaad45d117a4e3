// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Frontend/AttemptLoop.h"
#include "ClassServing/Upstream/EngineStream.h"

#include <string>

namespace Brassladder::ClassServing::Frontend {

// One generation as the caller sees it, over all attempts and pauses: relays tokens as they come, or collects them when
// the caller wants the response whole. Belongs to the fiber of its request.
class Generation {
public:
    Generation(RequestContext& context, std::string body, bool streaming, const Upstream::UpstreamTimeouts& timeouts)
        : m_context(context)
        , m_body(std::move(body))
        , m_streaming(streaming)
        , m_timeouts(timeouts)
    {
    }

    // One attempt at an engine, or the rest of a paused generation there. Suspends the calling fiber.
    AttemptResult runOnEngine(const Membership::Upstream&);
    // Ends the response: the end marker of a stream, or the whole text.
    void finishResponse();
    // Ends the response with an error; of a stream that has begun, as an event without the end marker.
    void finishWithError(const Common::Error&);
    uint32_t tokens() const { return m_tokens; } // Of the last attempt, over its pauses.

private:
    std::optional<Common::Error> open(Upstream::EngineStream&);
    AttemptResult relay(Upstream::EngineStream&);
    bool relayToken(const Upstream::Token&); // False when the caller is gone.
    AttemptResult failedResult(const Common::Error&);
    Common::HttpResponse responseHead(std::string contentType) const;

    RequestContext& m_context;
    std::string m_body;
    bool m_streaming;
    Upstream::UpstreamTimeouts m_timeouts;
    uint32_t m_tokens { 0 }; // As above.
    bool m_paused { false };
    bool m_hasFirstToken { false };
    std::string m_text;
    std::string m_finishReason { "stop" };
    Common::TimePoint m_firstToken;
    Common::TimePoint m_lastToken;
};

} // namespace Brassladder::ClassServing::Frontend
