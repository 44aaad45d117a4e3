// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Frontend/AttemptLoop.h"
#include "ClassServing/Upstream/EngineStream.h"

namespace Brassladder::ClassServing::Frontend {

// Handles requests of any method to /services/NAME/... by forwarding them to a plain service.
class ServiceHandler {
public:
    ServiceHandler(AttemptLoop& loop, Upstream::UpstreamTimeouts timeouts)
        : m_loop(loop)
        , m_timeouts(timeouts)
    {
    }

    // Responds to the request, with an error if it failed. `target` is the part of the request's target after the
    // service's name.
    Common::Status handle(RequestContext&, std::string_view target);

private:
    AttemptLoop& m_loop;
    Upstream::UpstreamTimeouts m_timeouts;
};

} // namespace Brassladder::ClassServing::Frontend
