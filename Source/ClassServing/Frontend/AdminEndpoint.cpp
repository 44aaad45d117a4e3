// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/AdminEndpoint.h"

#include "Common/Digest.h"

#include <csignal>
#include <unistd.h>

namespace Brassladder::ClassServing::Frontend {

using Common::ErrorKind;

static void refuse(Common::HttpExchange& exchange, ErrorKind kind, std::string message)
{
    exchange.respond(Common::errorResponse(Common::makeError(kind, std::move(message))));
}

void AdminEndpoint::handle(Common::HttpExchange& exchange)
{
    if (!Common::constantTimeEquals(exchange.header("Authorization"), m_authorization))
        return refuse(exchange, ErrorKind::Unauthenticated, "the Authorization header does not carry the fleet key");
    if (exchange.path() == "/admin/status")
        return void(exchange.respond(Common::jsonResponse(m_status())));
    if (exchange.path() == "/admin/explain") {
        auto found = m_explanations.find(exchange.query("id"));
        if (found)
            return void(exchange.respond(Common::jsonResponse(found->json())));
        return refuse(exchange, ErrorKind::UnknownRoute, "no explanation for this request id on this instance");
    }
    if (exchange.path() == "/admin/drain" && exchange.request().method() == boost::beast::http::verb::post) {
        exchange.respond(Common::jsonResponse({ { "status", "draining" } }));
        ::kill(::getpid(), SIGTERM); // Starts the same planned stop as a SIGTERM from the platform.
        return;
    }
    refuse(exchange, ErrorKind::UnknownRoute, "unknown admin request");
}

} // namespace Brassladder::ClassServing::Frontend
