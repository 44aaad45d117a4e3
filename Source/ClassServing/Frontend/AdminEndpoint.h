// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Frontend/Explanations.h"
#include "Common/HttpServer.h"

#include <functional>
#include <string>

namespace Brassladder::ClassServing::Frontend {

// Serves the operators' requests under /admin/: status, explanation of a request, planned stop. Each request must carry
// the fleet key. Thread-safe.
class AdminEndpoint {
public:
    AdminEndpoint(const std::string& fleetKey, Explanations& explanations, std::function<Common::Json()> status)
        : m_authorization("Bearer " + fleetKey)
        , m_explanations(explanations)
        , m_status(std::move(status))
    {
    }

    void handle(Common::HttpExchange&);

private:
    std::string m_authorization;
    Explanations& m_explanations;
    std::function<Common::Json()> m_status;
};

} // namespace Brassladder::ClassServing::Frontend
