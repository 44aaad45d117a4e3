// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/ClassRouter.h"

#include "Common/Digest.h"
#include "Common/Log.h"
#include "Common/MemoryReturn.h"
#include "Common/Metrics.h"

#include <thread>

namespace Brassladder::ClassServing::Frontend {

using Common::ErrorKind;
using Common::Json;
using Common::LogLevel;
using Common::Milliseconds;
using Inner::Wire::Item;
using namespace std::chrono_literals;

static constexpr std::string_view adminPrefix = "/admin/";
// A chat request is sent to its engine as it was written anew, and copied for each attempt.
static constexpr size_t chatBodyCopies = 2;
static constexpr Milliseconds drainPollInterval = 10ms;

ClassRouter::ClassRouter(Common::FiberRuntime& runtime, ClassRouterSettings settings)
    : m_runtime(runtime)
    , m_settings(std::move(settings))
    , m_connections(m_settings.connections)
    , m_mesh(runtime, { m_settings.id, Common::randomNumber() }, m_settings.fleetKey)
    , m_membership({ m_settings.id, m_settings.heartbeatTimeout })
    , m_config(BackingServices::httpLogService(m_settings.log),
          { [this](const std::string& peer, Item item) { sendTo(peer, std::move(item)); },
              [this] { m_home.onViewChanged(*m_membership.view()); } })
    , m_home(m_settings.id,
          { [this](const std::string& peer, Item item) { sendTo(peer, std::move(item)); },
              [this] { return m_membership.view(); }, [this] { return m_config.table(); } })
    , m_grants({ [this](const std::string& peer, Item item) { sendTo(peer, std::move(item)); },
          [this] { return m_membership.view(); },
          [this](const std::string& home) { m_dispatcher.onHomeUnresponsive(home); } })
    , m_claimRouter(BackingServices::httpLogService(m_settings.log), { m_settings.claimHorizon })
    , m_claims({ [this](const std::string& peer, Item item) { sendTo(peer, std::move(item)); },
                   [this](uint32_t partition) { return Dispatch::claimRouterOf(*m_membership.view(), partition); } },
          { m_settings.claimPartitions })
    , m_attempts({ m_claims, m_settings.claimHorizon }, { m_grants, m_membership })
    , m_chat(m_attempts, m_settings.upstream)
    , m_services(m_attempts, m_settings.upstream)
    , m_explanations(m_settings.explanations)
    , m_dispatcher({ m_settings.id, m_settings.claimPartitions, m_membership, m_config, m_home, m_grants, m_claimRouter,
          m_claims, [this](const std::string& peer, Item item) { sendTo(peer, std::move(item)); } })
    , m_periodicWork(
          { m_settings, m_mesh, m_membership, m_config, m_home, m_grants, [this] { return m_draining.load(); } })
    , m_callers({ m_config, m_explanations, m_chat, m_services })
    , m_admin(m_settings.fleetKey, m_explanations, [this] { return status(); })
{
    m_mesh.setConnectionBudget(m_connections);
    m_membership.onChange([this](const Membership::View& view) { onViewChanged(view); });
}

Common::Status ClassRouter::start()
{
    if (auto status = listen(); isError(status))
        return status;
    m_periodicWork.start(m_runtime);
    m_runtime.spawn([this] { Common::returnMemoryAfterPeaks(m_connections); });
    return Common::Done {};
}

Common::Status ClassRouter::listen()
{
    Inner::Mesh::Hooks hooks;
    hooks.onItem = [this](const auto& sender, const auto& item) { m_dispatcher.onItem(sender, item); };
    hooks.onConnected = [this](const std::string& peer) {
        m_grants.onConnected(peer);
        m_home.onEntryConnected(peer);
    };
    hooks.onDisconnected = [this](const std::string& peer) { m_membership.suspect(peer, Common::now()); };
    auto inner = m_mesh.listen(m_settings.inner, std::move(hooks));
    if (isError(inner))
        return errorOf(inner);
    m_innerPort = valueOf(inner);
    // Publishes the first view before the server accepts requests.
    m_membership.tick(Common::now());
    auto server = Common::HttpServer::Builder(m_runtime)
                      .endpoint(m_settings.http)
                      .limits(m_settings.limits)
                      .budget(m_connections)
                      .bodyCopies(chatBodyCopies)
                      .handler([this](Common::HttpExchange& exchange) { handle(exchange); })
                      .build();
    if (isError(server))
        return errorOf(server);
    m_server = valueOf(server);
    return Common::Done {};
}

// Delivers messages to this router itself directly, without the mesh.
void ClassRouter::sendTo(const std::string& peer, Item item)
{
    if (peer == m_settings.id)
        m_dispatcher.onItem(m_mesh.self(), item);
    else
        m_mesh.send(peer, std::move(item));
}

void ClassRouter::onViewChanged(const Membership::View& view)
{
    m_home.onViewChanged(view);
    m_grants.onViewChanged(view);
}

void ClassRouter::handle(Common::HttpExchange& exchange)
{
    auto path = exchange.path();
    if (path == "/healthz") {
        exchange.respond(Common::jsonResponse({ { "status", "ok" } }));
    } else if (path == "/readyz") {
        handleReadiness(exchange);
    } else if (path == "/metrics") {
        m_connections.exposeMetrics();
        exchange.respond({ 200, Common::Metrics::expose(), "text/plain; version=0.0.4", {} });
    } else if (path.starts_with(adminPrefix)) {
        m_admin.handle(exchange);
    } else {
        m_inFlight.fetch_add(1);
        m_callers.handle(exchange, m_draining);
        m_inFlight.fetch_sub(1);
    }
}

void ClassRouter::handleReadiness(Common::HttpExchange& exchange) const
{
    if (m_config.isReady() && !m_draining)
        exchange.respond(Common::jsonResponse({ { "status", "ready" } }));
    else
        exchange.respond(Common::errorResponse(
            Common::makeError(m_draining ? ErrorKind::Draining : ErrorKind::NotReady, "not ready")));
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

void ClassRouter::drain()
{
    m_draining = true;
    Common::log(LogLevel::Info, "router", "drain.started", { { "in_flight", m_inFlight.load() } });
    m_membership.setSelfLeaving(Common::now());
    std::this_thread::sleep_for(m_settings.balancerRemovalDelay);
    m_server->stopAccepting();
    auto limit = Common::now() + m_settings.drainTimeout;
    while (m_inFlight && Common::now() < limit)
        std::this_thread::sleep_for(drainPollInterval);
    Common::log(LogLevel::Info, "router", "drain.ended", { { "in_flight", m_inFlight.load() } });
}

} // namespace Brassladder::ClassServing::Frontend
