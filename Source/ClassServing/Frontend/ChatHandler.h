// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Frontend/AttemptLoop.h"
#include "ClassServing/Upstream/EngineStream.h"

namespace Brassladder::ClassServing::Frontend {

// Handles POST /v1/chat/completions. Relays the generation as a stream of events, or collects it into one response if
// the caller did not request a stream.
class ChatHandler {
public:
    ChatHandler(AttemptLoop& loop, Upstream::UpstreamTimeouts timeouts)
        : m_loop(loop)
        , m_timeouts(timeouts)
    {
    }

    // Responds to the request, with an error if it failed, and returns the request's final status.
    Common::Status handle(RequestContext&);

private:
    AttemptLoop& m_loop;
    Upstream::UpstreamTimeouts m_timeouts;
};

} // namespace Brassladder::ClassServing::Frontend
