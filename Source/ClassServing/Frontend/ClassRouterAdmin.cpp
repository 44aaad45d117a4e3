// SPDX-License-Identifier: Apache-2.0
// The operators' calls of a router.
#include "ClassServing/Frontend/ClassRouter.h"

#include "Common/Digest.h"

#include <csignal>
#include <unistd.h>

namespace Brassladder::ClassServing::Frontend {

using Common::ErrorKind;
using Common::Json;

void ClassRouter::handleAdmin(Common::HttpExchange& exchange)
{
    if (!Common::equalInConstantTime(exchange.header("Authorization"), "Bearer " + m_settings.fleetKey))
        return void(exchange.respond(
            Common::errorResponse(Common::makeError(ErrorKind::Unauthenticated, "not the fleet's key"))));
    if (exchange.path() == "/admin/status")
        return void(exchange.respond(Common::jsonResponse(status())));
    if (exchange.path() == "/admin/explain") {
        auto found = m_explanations.find(std::string(exchange.query("id")));
        if (found)
            return void(exchange.respond(Common::jsonResponse(found->json())));
        return void(exchange.respond(Common::errorResponse(
            Common::makeError(ErrorKind::UnknownRoute, "this instance remembers no such request"))));
    }
    if (exchange.path() == "/admin/drain" && exchange.request().method() == boost::beast::http::verb::post) {
        exchange.respond(Common::jsonResponse({ { "status", "draining" } }));
        ::kill(::getpid(), SIGTERM); // The same planned stop that the platform asks for.
        return;
    }
    exchange.respond(Common::errorResponse(Common::makeError(ErrorKind::UnknownRoute, "no such operator call")));
}

Json ClassRouter::status() const
{
    auto view = m_membership.view();
    Json pools = Json::object();
    for (const auto& [name, upstreams] : view->pools) {
        for (const auto& upstream : upstreams)
            pools[name][upstream.id] = upstream.leaving ? "leaving" : "live";
    }
    return { { "id", m_settings.id }, { "draining", m_draining.load() }, { "in_flight", m_inFlight.load() },
        { "routers", view->routers }, { "pools", pools }, { "config", m_config.status() },
        { "shards", m_home.status() },
        { "inner",
            { { "bytes_sent", m_mesh.bytesSent() }, { "bytes_received", m_mesh.bytesReceived() },
                { "items_sent", m_mesh.itemsSent() } } } };
}

} // namespace Brassladder::ClassServing::Frontend
