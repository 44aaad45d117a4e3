// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Config/Store.h"
#include "ClassServing/Frontend/ChatHandler.h"
#include "ClassServing/Frontend/Explanations.h"
#include "ClassServing/Frontend/ServiceHandler.h"

namespace Brassladder::ClassServing::Frontend {

// Handles the callers' requests: determines workspace, class and pool, passes the request to the chat or the service
// handler, and records its outcome. Thread-safe.
class CallerEndpoint {
public:
    struct Parts {
        Config::Store& config;
        Explanations& explanations;
        ChatHandler& chat;
        ServiceHandler& services;
    };

    explicit CallerEndpoint(Parts parts)
        : m_parts(parts)
    {
    }

    // Responds to the request. Closes the connection after the response if `isDraining`.
    void handle(Common::HttpExchange&, bool isDraining);

private:
    Parts m_parts;
};

} // namespace Brassladder::ClassServing::Frontend
