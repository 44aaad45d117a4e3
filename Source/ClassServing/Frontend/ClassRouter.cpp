// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/ClassRouter.h"

#include "ClassServing/Frontend/RequestMetrics.h"
#include "ClassServing/Upstream/LoadProbe.h"
#include "Common/Digest.h"
#include "Common/Log.h"
#include "Common/Metrics.h"

#include <thread>

namespace Brassladder::ClassServing::Frontend {

using Common::ErrorKind;
using Common::Json;
using Common::LogLevel;
using Common::Milliseconds;
using Inner::Wire::Item;
using namespace std::chrono_literals;

// What only time decides is looked at this often: about a step of an engine ("a few milliseconds or more", brief).
static constexpr Milliseconds schedulerTick = 5ms;
static constexpr Milliseconds membershipTick = 100ms;
static constexpr Milliseconds repeatTick = 500ms;
static constexpr Common::Duration silentAfter = 500ms;
static constexpr std::string_view servicesPrefix = "/services/";
static constexpr std::string_view adminPrefix = "/admin/";

ClassRouter::ClassRouter(Common::FiberRuntime& runtime, ClassRouterSettings settings)
    : m_runtime(runtime)
    , m_settings(std::move(settings))
    , m_mesh(runtime, { m_settings.id, Common::randomNumber() }, m_settings.fleetKey)
    , m_membership({ m_settings.id, m_settings.silence })
    , m_config(BackingServices::httpLogService(m_settings.log),
          { [this](const std::string& peer, Item item) { sendTo(peer, std::move(item)); },
              [this] { m_home.onViewChanged(*m_membership.view()); } })
    , m_home(m_settings.id,
          { [this](const std::string& peer, Item item) { sendTo(peer, std::move(item)); },
              [this] { return m_membership.view(); }, [this] { return m_config.table(); } })
    , m_grants({ [this](const std::string& peer, Item item) { sendTo(peer, std::move(item)); },
          [this] { return m_membership.view(); }, [this](const std::string& home) { onSilentHome(home); } })
    , m_claimRouter(BackingServices::httpLogService(m_settings.log), { m_settings.claimHorizon })
    , m_claims({ [this](const std::string& peer, Item item) { sendTo(peer, std::move(item)); },
                   [this](uint32_t partition) { return Dispatch::claimRouterOf(*m_membership.view(), partition); } },
          { m_settings.claimPartitions })
    , m_attempts({ m_grants, m_claims, m_membership, m_settings.claimHorizon })
    , m_chat(m_attempts, m_settings.upstream)
    , m_services(m_attempts, m_settings.upstream)
    , m_explanations(m_settings.explanations)
{
    m_membership.onChange([this](const Membership::View& view) { onViewChanged(view); });
}

Common::Status ClassRouter::start()
{
    Inner::Mesh::Hooks hooks;
    hooks.onItem = [this](const auto& sender, const auto& item) { onItem(sender, item); };
    hooks.onConnected = [this](const std::string& peer) {
        m_grants.onConnected(peer);
        m_home.onEntryConnected(peer);
    };
    hooks.onDisconnected = [this](const std::string& peer) { m_membership.suspect(peer, Common::now()); };
    auto inner = m_mesh.listen(m_settings.inner, std::move(hooks));
    if (isError(inner))
        return errorOf(inner);
    m_innerPort = valueOf(inner);
    m_membership.tick(Common::now());
    auto server = Common::HttpServer::Builder(m_runtime)
                      .endpoint(m_settings.http)
                      .limits(m_settings.limits)
                      .handler([this](Common::HttpExchange& exchange) { handle(exchange); })
                      .build();
    if (isError(server))
        return errorOf(server);
    m_server = valueOf(server);
    m_runtime.spawn([this] {
        m_config.follow([this] {
            std::vector<std::string> ids;
            for (const auto& peer : m_membership.peers())
                ids.push_back(peer.id);
            return ids;
        });
    });
    every(m_settings.listInterval, [this] { readInstances(); });
    every(m_settings.heartbeat, [this] { sendHeartbeats(); });
    every(m_settings.loadInterval, [this] { probeLoads(); });
    every(schedulerTick, [this] { m_home.tick(); });
    every(membershipTick, [this] { m_membership.tick(Common::now()); });
    every(repeatTick, [this] { m_grants.repeatWaiting(); });
    return Common::Done {};
}

void ClassRouter::every(Milliseconds interval, std::function<void()> work)
{
    m_runtime.spawn([interval, work = std::move(work)] {
        while (true) {
            work();
            Common::sleepFor(interval);
        }
    });
}

// Inner messages

void ClassRouter::sendTo(const std::string& peer, Item item)
{
    if (peer == m_settings.id)
        onItem(m_mesh.self(), item);
    else
        m_mesh.send(peer, std::move(item));
}

void ClassRouter::onItem(const Inner::Mesh::Sender& sender, const Item& item)
{
    if (sender.id != m_settings.id) {
        m_membership.heard(sender.id, Common::now());
        std::lock_guard lock(m_lastHeardMutex);
        m_lastHeard[sender.id] = Common::now();
    }
    switch (item.item_case()) {
    case Item::kAsk:
        return m_home.onAsk(sender, item.ask());
    case Item::kRelease:
        return m_home.onRelease(sender, item.release());
    case Item::kReset:
        return m_home.onReset(sender, item.reset());
    case Item::kGrant:
        return m_grants.onGrant(sender.id, item.grant());
    case Item::kRefusal:
        return m_grants.onRefusal(sender.id, item.refusal());
    case Item::kPreemption:
        return m_grants.onPreemption(sender.id, item.preemption());
    case Item::kQueued:
        return m_grants.onQueued(item.queued());
    case Item::kHeartbeat:
        return onHeartbeat(sender, item.heartbeat());
    case Item::kConfigRequest:
        return m_config.onRequest(sender.id, item.config_request());
    case Item::kConfigState:
        return m_config.onState(item.config_state());
    case Item::kClaimRequest:
        return onClaimRequest(sender, item.claim_request());
    case Item::kClaimVerdict:
        return m_claims.onVerdict(item.claim_verdict());
    case Item::kClaimUpdate: {
        const auto& update = item.claim_update();
        Claims::KeyAndRequest what { update.key(), update.request_id() };
        return update.free() ? m_claimRouter.markFreed(update.partition(), what)
                             : m_claimRouter.markEnded(update.partition(), what);
    }
    // Messages of routers that serve routes.
    case Item::kKnowledgeAsk:
    case Item::kKnowledge:
    case Item::kHubLoads:
    case Item::ITEM_NOT_SET:
        return;
    }
}

void ClassRouter::onClaimRequest(const Inner::Mesh::Sender& sender, const Inner::Wire::ClaimRequest& request)
{
    auto answer = [this, peer = sender.id, sequence = request.sequence()](Claims::Verdict verdict) {
        Item item;
        item.mutable_claim_verdict()->set_sequence(sequence);
        item.mutable_claim_verdict()->set_verdict(static_cast<uint32_t>(verdict));
        sendTo(peer, std::move(item));
    };
    if (request.partition() >= m_settings.claimPartitions)
        return answer(Claims::Verdict::Unavailable);
    m_claimRouter.request(request.partition(), { request.key(), request.request_id() }, request.look_only(), answer);
}

void ClassRouter::onHeartbeat(const Inner::Mesh::Sender& sender, const Inner::Wire::Heartbeat& heartbeat)
{
    auto now = Common::now();
    m_membership.setRouterLeaving(sender.id, heartbeat.leaving(), now);
    for (const auto& suspicion : heartbeat.suspects()) {
        if (suspicion.id() != m_settings.id)
            m_membership.recordSuspicion(suspicion.id(), Milliseconds(suspicion.age_ms()), now);
    }
    for (const auto& upstream : heartbeat.leaving_upstreams())
        m_membership.setUpstreamLeaving(upstream, now);
    m_config.compare(sender.id, heartbeat.config_digest());
}

void ClassRouter::onViewChanged(const Membership::View& view)
{
    m_home.onViewChanged(view);
    m_grants.onViewChanged(view);
}

void ClassRouter::onSilentHome(const std::string& home)
{
    if (home == m_settings.id)
        return;
    {
        std::lock_guard lock(m_lastHeardMutex);
        if (Common::now() - m_lastHeard[home] < silentAfter)
            return;
    }
    Common::log(LogLevel::Warning, "membership", "home.silent", { { "peer", home } });
    m_membership.suspect(home, Common::now());
}

// Background work

void ClassRouter::readInstances()
{
    auto instances = BackingServices::httpInstanceList(m_settings.instanceList).read();
    static auto& s_failures = Common::Metrics::counter(
        "brassladder_instance_list_failures_total", "Reads of the instance list that failed");
    if (isError(instances)) {
        s_failures.Increment();
        return;
    }
    m_membership.setInstances(std::move(valueOf(instances)), Common::now());
    m_mesh.setPeers(m_membership.peers());
}

void ClassRouter::sendHeartbeats()
{
    std::vector<std::string> ids { m_settings.id };
    for (const auto& peer : m_membership.peers())
        ids.push_back(peer.id);
    std::sort(ids.begin(), ids.end());
    Item item;
    auto& heartbeat = *item.mutable_heartbeat();
    heartbeat.set_leaving(m_draining);
    heartbeat.set_config_digest(m_config.digest());
    for (const auto& upstream : m_membership.leavingUpstreams())
        heartbeat.add_leaving_upstreams(upstream);
    for (const auto& [id, age] : m_membership.suspicions(Common::now())) {
        auto& suspicion = *heartbeat.add_suspects();
        suspicion.set_id(id);
        suspicion.set_age_ms(static_cast<uint32_t>(age.count()));
    }
    auto targets = Membership::watchersOf(ids, m_settings.id);
    auto byChance = Membership::chanceTargets(ids, m_settings.id, Common::randomNumber());
    targets.insert(targets.end(), byChance.begin(), byChance.end());
    for (const auto& target : targets)
        m_mesh.send(target, item);
}

// Reads the load of the upstreams that this router schedules. A read that fails changes nothing, since the scheduler
// relies on its own count of grants; it is logged for debugging only, because an engine that is gone fails twice a
// second.
void ClassRouter::probeLoads()
{
    auto probe = [this](const Dispatch::ShardKey& shard, const Membership::Upstream& upstream) {
        auto load = Upstream::readLoad(upstream.endpoint);
        if (isError(load)) {
            Common::log(LogLevel::Debug, "router", "load.unreadable",
                { { "upstream", upstream.id }, { "error", errorOf(load).message } });
            return;
        }
        m_home.report(shard, upstream.id, valueOf(load));
        if (valueOf(load).leaving)
            m_membership.setUpstreamLeaving(upstream.id, Common::now());
    };
    for (const auto& [shard, upstreams] : m_home.ownShards()) {
        for (const auto& upstream : upstreams)
            Common::FiberRuntime::spawnHere([probe, shard = shard, upstream] { probe(shard, upstream); });
    }
}

// Callers and operators

void ClassRouter::handle(Common::HttpExchange& exchange)
{
    auto path = exchange.path();
    if (path == "/healthz") {
        exchange.respond(Common::jsonResponse({ { "status", "ok" } }));
    } else if (path == "/readyz") {
        if (m_config.isReady() && !m_draining)
            exchange.respond(Common::jsonResponse({ { "status", "ready" } }));
        else
            exchange.respond(Common::errorResponse(
                Common::makeError(m_draining ? ErrorKind::Draining : ErrorKind::NotReady, "not ready")));
    } else if (path == "/metrics") {
        exchange.respond({ 200, Common::Metrics::expose(), "text/plain; version=0.0.4", {} });
    } else if (path.starts_with(adminPrefix)) {
        handleAdmin(exchange);
    } else {
        m_inFlight.fetch_add(1);
        handleCaller(exchange);
        m_inFlight.fetch_sub(1);
    }
}

void ClassRouter::handleCaller(Common::HttpExchange& exchange)
{
    auto refuse = [&](const Common::Error& error) {
        RequestMetrics::refused("", error.kind);
        exchange.respond(Common::errorResponse(error));
    };
    bool chat
        = exchange.path() == "/v1/chat/completions" && exchange.request().method() == boost::beast::http::verb::post;
    bool service = exchange.path().starts_with(servicesPrefix);
    if (!chat && !service)
        return refuse(Common::makeError(ErrorKind::UnknownRoute, "POST /v1/chat/completions or /services/NAME/..."));
    if (!m_config.isReady())
        return refuse(Common::makeError(ErrorKind::NotReady, "no configuration yet"));
    auto classified = classify(exchange, m_config.table(), m_explanations);
    if (isError(classified))
        return refuse(errorOf(classified));
    auto& context = valueOf(classified);
    if (m_draining)
        exchange.closeAfterAnswer();
    std::string_view target = exchange.target();
    std::string_view pool = context.requestClass->pool;
    if (service) {
        target.remove_prefix(servicesPrefix.size());
        auto slash = std::min(target.find_first_of("/?"), target.size());
        pool = target.substr(0, slash);
        target.remove_prefix(slash);
    }
    const auto* settings = context.table->pool(context.requestClass->pool);
    bool rightKind = settings && (settings->kind == Config::PoolKind::Engine) == chat;
    if (pool != context.requestClass->pool || !rightKind)
        return refuse(Common::makeError(ErrorKind::ForbiddenClass, "the class is for another pool"));
    RequestMetrics::arrived(*context.requestClass);
    exchange.watchCaller([signal = context.signal] { signal->cancel(); });
    auto status = chat ? m_chat.handle(context) : m_services.handle(context, target.empty() ? "/" : target);
    Json line = { { "request_id", context.requestId }, { "workspace", context.workspace->name },
        { "class", context.policy().name }, { "ms", Common::toMilliseconds(Common::now() - context.arrived).count() } };
    if (!isError(status)) {
        context.explanation->step("answered");
        Common::log(LogLevel::Debug, "router", "request.answered", std::move(line));
        return;
    }
    const auto& error = errorOf(status);
    RequestMetrics::refused(context.policy().name, error.kind);
    context.explanation->step("failed",
        { { "kind", Common::name(error.kind) }, { "ran", Common::name(error.ran) }, { "message", error.message } });
    line.update(
        { { "kind", Common::name(error.kind) }, { "ran", Common::name(error.ran) }, { "message", error.message } });
    Common::log(LogLevel::Info, "router", "request.failed", std::move(line));
}

void ClassRouter::drain()
{
    m_draining = true;
    Common::log(LogLevel::Info, "router", "drain.started", { { "in_flight", m_inFlight.load() } });
    m_membership.setSelfLeaving(Common::now());
    std::this_thread::sleep_for(m_settings.drainLag);
    m_server->stopAccepting();
    auto limit = Common::now() + m_settings.drainLimit;
    while (m_inFlight && Common::now() < limit)
        std::this_thread::sleep_for(10ms);
    Common::log(LogLevel::Info, "router", "drain.ended", { { "in_flight", m_inFlight.load() } });
}

} // namespace Brassladder::ClassServing::Frontend
