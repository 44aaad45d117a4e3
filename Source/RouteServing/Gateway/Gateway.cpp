// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/Gateway.h"

#include "Common/Digest.h"
#include "Common/Log.h"
#include "Common/MemoryReturn.h"
#include "Common/Metrics.h"
#include "RouteServing/Gateway/CapacityView.h"
#include "RouteServing/Gateway/DutyMetrics.h"
#include "RouteServing/Gateway/GatewayMetrics.h"
#include "RouteServing/Gateway/HealthCheck.h"
#include "RouteServing/Gateway/RequestHandler.h"
#include "RouteServing/Gateway/SuspectEndpoint.h"
#include "RouteServing/Routing/DrainSchedule.h"
#include "RouteServing/Routing/ExchangeInterval.h"

#include <set>
#include <thread>

namespace Brassladder::RouteServing::Gateway {

using Common::ErrorKind;
using Common::LogLevel;
using Common::Milliseconds;
using namespace std::chrono_literals;

// How often this router's share of the retry allowance is recomputed from the size of the fleet.
static constexpr Milliseconds retryAllowanceInterval = 1000ms;
// How often the time budgets are recomputed from the size of the fleet.
static constexpr Milliseconds timeBudgetInterval = 10'000ms;
// How often a planned stop checks whether requests are in flight.
static constexpr Milliseconds drainPollInterval = 20ms;
// Intervals of the exchange to wait at the end of a planned stop, until the last usage counts have reached the hub.
static constexpr int finalUsageExchanges = 2;

// Requests for the readiness and to the operator API have no bodies, or small ones.
static constexpr size_t maxEssentialBodyBytes = size_t { 16 } * 1024;

static Milliseconds unixTime()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

static std::unique_ptr<UsageExchange> usageExchange(const GatewaySettings& settings)
{
    if (!settings.duties)
        return nullptr;
    Duties::RouterProcess self { settings.id, Common::randomNumber() };
    return std::make_unique<UsageExchange>(std::move(self), settings.duties->usage, unixTime);
}

static std::string tunnelAuthorization(const GatewaySettings& settings) { return "Bearer " + settings.fleetKey; }

Gateway::Gateway(
    Common::FiberRuntime& runtime, GatewaySettings settings, HeaderScheme headers, const PlatformSources& sources)
    : m_runtime(runtime)
    , m_settings(std::move(settings))
    , m_headers(std::move(headers))
    , m_connections(m_settings.connectionCapacity())
    , m_lease(Routing::FreshnessLease::durationWithin(m_settings.revocationBound))
    , m_registry(m_settings.failureDomain)
    , m_connector(tunnelAuthorization(m_settings))
    , m_retries({ m_settings.retryRatio, 0, m_settings.retryWindow })
    , m_shares(m_settings.id)
    , m_hasher(m_settings.fleetKey)
    , m_crashDetector(m_registry)
    , m_suspectGuard(m_suspects, sources.suspects, m_settings.id)
    , m_watcher(sources, m_settings.refreshIntervals(), m_lease, m_registry)
    , m_usage(usageExchange(m_settings))
    , m_overload(m_registry, { m_settings.limitsOverload, m_settings.maxHeldRequests })
    , m_origins(m_settings.id, m_settings.fleetKey)
    , m_slots(m_settings.id)
    , m_peers(runtime,
          { sources.roster, m_watcher, m_lease, m_registry, { m_settings.seeds, m_settings.isFirstStart },
              m_usage.get(), &m_suspects, m_settings.capacity, &m_shares,
              m_settings.limitsOverload ? &m_overload.queues() : nullptr, m_settings.refreshIntervals(), &m_origins,
              &m_slots, &m_connections },
          m_settings.id, m_settings.fleetKey)
    , m_tunnels(tunnelAuthorization(m_settings),
          { [this](const auto& upstream) { return allowsTunnel(upstream); },
              [this](const auto& upstream, auto timeout) { return m_connector.connectForTunnel(upstream, timeout); },
              [this](int change) {
                  m_openTunnels += static_cast<size_t>(change);
                  GatewayMetrics::addTunnels(change);
              } })
{
    m_connector.setRouters([this] { return m_peers.routerEndpoints(); });
    m_peers.setOnTunnelRequest(
        [this](auto socket, const auto& onAuthorized) { m_tunnels.serve(std::move(socket), onAuthorized); });
    // This router's own link may refuse connections to an upstream that lives.
    m_crashDetector.setConnect([this](const auto& upstream, Milliseconds timeout) {
        return m_connector.connect(upstream, timeout, UpstreamConnector::Refusal::AskOthers);
    });
    m_crashDetector.setIsOtherUpstream([this](auto& connection, const auto& upstream, Milliseconds timeout) {
        return isOtherUpstream(connection, upstream, timeout);
    });
    m_crashDetector.setOnCrash([this](const auto& upstream, auto attempts) {
        m_suspects.recordCrash(upstream.incarnation(), attempts, Common::now());
    });
    m_crashDetector.setOnCompleted([this](auto attempts) {
        for (const auto& attempt : attempts) {
            m_suspects.recordCompleted(attempt.request, Common::now());
            m_suspects.recordCompletedParts(attempt.promptParts, Common::now());
        }
    });
    m_overload.setShareRule([this](uint32_t service, uint32_t workspace, size_t rank, Common::TimePoint now) {
        return m_shares.isOverShare(service, workspace, static_cast<unsigned>(rank), now);
    });
    m_overload.setFleetCoverage([this] {
        return OverloadGate::FleetCoverage { m_peers.fleetSize(), m_peers.unreachableLoadFactor() };
    });
    if (m_usage && sources.dutyLog && sources.dutyCalls)
        startDuties(sources);
}

// Duties

void Gateway::startDuties(const PlatformSources& sources)
{
    const auto& settings = *m_settings.duties;
    DutyRunner::Parts parts { *sources.dutyLog, *sources.dutyCalls, *m_usage, [this] { return dutySituation(); },
        [this] {
            return collectServiceCapacities(m_watcher, m_registry, m_peers.unreachableLoadFactor(), Common::now());
        } };
    m_duties = std::make_unique<DutyRunner>(std::move(parts),
        DutyRunner::Settings { settings.lease, settings.usage, settings.reportsUsage, settings.ordersCapacity });
    m_peers.setDutyHolder([this] { return m_duties->view().holder; });
}

// Only store readers may hold the duties: they are few, read the store anyway, and receive all usage counts.
Duties::Lease::Situation Gateway::dutySituation() const
{
    bool mayHold = m_peers.fleetSize() && m_peers.readsStore() && !m_peers.isPartitioned();
    return { mayHold, m_draining };
}

Common::Status Gateway::start()
{
    if (auto status = listen(); isError(status))
        return status;
    startBackgroundWork();
    return Common::Done {};
}

Common::HttpLimits Gateway::callerLimits() const
{
    Common::HttpLimits limits;
    limits.headerFields = m_settings.maxHeaderFields;
    if (auto configuration = m_watcher.configuration()) {
        const auto& configured = configuration->table.limits();
        limits.headerBytes = configured.headerBytes;
        limits.bodyBytes = configured.bodyBytes;
        limits.receiveTimeout = configured.receiveTimeout;
        limits.idleTimeout = configured.idleTimeout;
    }
    return limits;
}

// Whether a request with this head would be admitted, so that its body is worth reading.
bool Gateway::admitsHead(const Common::HttpRequest& head) const
{
    bool isKeyLeaseValid = m_lease.isFresh(Common::now());
    auto configuration = m_watcher.configuration();
    Routing::RouterState state { m_refusesNewRequests, configuration ? &configuration->table : nullptr,
        m_watcher.hasUpstreamList(), isKeyLeaseValid };
    auto text = [](const auto& value) { return std::string_view(value.data(), value.size()); };
    auto path = text(head.target());
    path = path.substr(0, path.find('?'));
    return !Routing::admit(state, { text(head[boost::beast::http::field::host]), path, m_headers.caller.key(head) })
                .refusal;
}

Common::Result<Common::HttpServer*> Gateway::listenOn(const Common::Endpoint& endpoint, Common::HttpHandler handler)
{
    Common::HttpLimits limits;
    limits.bodyBytes = maxEssentialBodyBytes;
    return Common::HttpServer::Builder(m_runtime)
        .endpoint(endpoint)
        .limits(limits)
        .budget(m_connections, Common::ListenerKind::Essential)
        .handler(std::move(handler))
        .build();
}

Common::Status Gateway::listen()
{
    auto callers = Common::HttpServer::Builder(m_runtime)
                       .endpoint(m_settings.callers)
                       .limits([this] { return callerLimits(); })
                       .budget(m_connections)
                       .wantsBody([this](const auto& head) { return admitsHead(head); })
                       .handler([this](Common::HttpExchange& exchange) { serveCaller(exchange); })
                       .build();
    if (isError(callers))
        return errorOf(callers);
    m_callers = valueOf(callers);
    auto readiness
        = listenOn(m_settings.readiness, [this](Common::HttpExchange& exchange) { serveReadiness(exchange); });
    if (isError(readiness))
        return errorOf(readiness);
    m_readiness = valueOf(readiness);
    auto metrics = listenOn(m_settings.metrics, [this](Common::HttpExchange& exchange) { serveOperator(exchange); });
    if (isError(metrics))
        return errorOf(metrics);
    m_metrics = valueOf(metrics);
    if (auto peers = m_peers.listen(m_settings.inner); isError(peers))
        return errorOf(peers);
    return Common::Done {};
}

void Gateway::startBackgroundWork()
{
    m_runtime.spawn([this] { m_watcher.watchConfiguration(); });
    m_runtime.spawn([this] { m_watcher.watchUpstreams(); });
    m_runtime.spawn([this] { m_peers.watchRoster(); });
    m_runtime.spawn([this] { m_peers.run(); });
    m_runtime.spawn([this] { updateRetryAllowance(); });
    m_runtime.spawn([this] { watchTimeBudgets(); });
    m_runtime.spawn([this] { Common::returnMemoryAfterPeaks(m_connections); });
    m_runtime.spawn(
        [this] { m_suspectGuard.runStoreSync([this] { return m_peers.fleetSize() && m_peers.readsStore(); }); });
    if (m_duties)
        m_runtime.spawn([this] { m_duties->run(); });
}

void Gateway::updateRetryAllowance()
{
    auto usableFrom = Routing::retryAllowanceStart(Common::now(), m_settings.retryWindow);
    while (true) {
        auto routers = m_peers.fleetSize();
        if (routers && Common::now() >= usableFrom)
            m_retries.setAllowance(Routing::retryAllowanceShare(m_settings.retryAllowance, *routers));
        Common::sleepFor(retryAllowanceInterval);
    }
}

// The fleet may grow beyond the size for which the bounds are kept in each case.
void Gateway::watchTimeBudgets() const
{
    std::set<std::string> reported;
    while (true) {
        auto budgets = m_settings.timeBudgets(m_peers.fleetSize().value_or(1));
        GatewayMetrics::timeBudgets(budgets);
        for (const auto& budget : Common::exceededBudgets(budgets)) {
            if (reported.insert(budget.guarantee() + budget.path()).second)
                Common::log(LogLevel::Warning, "gateway", "bound.exceedable", { { "budget", budget.text() } });
        }
        Common::sleepFor(timeBudgetInterval);
    }
}

void Gateway::serveOperator(Common::HttpExchange& exchange)
{
    if (exchange.path().starts_with(suspectsPath))
        return serveSuspects(exchange, m_suspects, m_settings.fleetKey);
    serveMetrics(exchange);
}

void Gateway::serveMetrics(Common::HttpExchange& exchange) const
{
    auto now = Common::now();
    GatewayMetrics::fleetState({ m_peers.isHub(), m_peers.readsStore(), m_watcher.activeVersion(), m_lease.age(now),
        m_watcher.upstreamsAge(now), m_peers.fleetSize().value_or(0) });
    m_connections.exposeMetrics();
    GatewayMetrics::cooldownCount(m_registry.cooldownCount(now));
    GatewayMetrics::sendQuotas(m_registry.quotas().summary(now));
    auto slots = m_slots.summary();
    GatewayMetrics::fragileUpstreams(
        { m_registry.fragile().countInForce(), slots.coordinated, slots.reserved, slots.waiting });
    GatewayMetrics::engineSlowdowns(m_registry.paces().ranges(now));
    m_overload.updateMetrics();
    GatewayMetrics::streamOrigins(m_origins.summary());
    using Kind = Routing::SuspectLedger::Kind;
    GatewayMetrics::suspects("request", m_suspects.countByState(Kind::Request, now));
    GatewayMetrics::suspects("prompt_part", m_suspects.countByState(Kind::PromptPart, now));
    if (m_duties) {
        auto duties = m_duties->view();
        DutyMetrics::dutyState(duties.isOwn ? duties.token : 0, duties.firstUnreported);
    }
    exchange.respond({ 200, Common::Metrics::expose(), "text/plain; version=0.0.4", {} });
}

bool Gateway::isReady() const
{
    return !m_draining && m_watcher.configuration() && m_watcher.hasUpstreamList() && m_lease.isFresh(Common::now());
}

// The list of the other router may be older than this one, and addresses of upstreams are reused.
bool Gateway::allowsTunnel(const Inner::TunnelServer::Upstream& upstream) const
{
    bool isAllowed
        = !m_draining && !m_connector.areAllLinksLost() && m_registry.servingEndpoint(upstream.id) == upstream.endpoint;
    Common::log(LogLevel::Info, "gateway", "tunnel.requested",
        { { "upstream", upstream.id }, { "allowed", isAllowed },
            { "upstreams_age_ms", m_watcher.upstreamsAge(Common::now()).count() } });
    return isAllowed;
}

bool Gateway::isOtherUpstream(
    Common::HttpConnection& connection, const Routing::UpstreamRecord& upstream, Milliseconds timeout) const
{
    auto configuration = m_watcher.configuration();
    const auto* service = configuration ? configuration->table.service(upstream.service) : nullptr;
    return service && !service->healthPath.empty()
        && isAnsweredByOtherUpstream(connection, upstream, service->healthPath, m_headers.upstream, timeout);
}

void Gateway::serveReadiness(Common::HttpExchange& exchange) const
{
    if (exchange.path() != m_headers.caller.readinessPath)
        return (void)exchange.respond(
            Common::errorResponse(Common::makeError(ErrorKind::UnknownRoute, m_headers.caller.readinessPath)));
    if (isReady())
        exchange.respond(Common::jsonResponse({ { "status", "ready" } }));
    else
        exchange.respond(Common::errorResponse(
            Common::makeError(m_draining ? ErrorKind::Draining : ErrorKind::NotReady, "not ready")));
}

void Gateway::serveCaller(Common::HttpExchange& exchange)
{
    if (m_draining)
        exchange.closeAfterResponse();
    RequestServices services { m_headers, m_watcher, m_lease, m_registry, m_retries,
        { m_hasher, m_crashDetector, m_suspectGuard }, m_connector, m_settings.regions, m_usage.get(),
        m_refusesNewRequests, m_requestsEndAt, &m_shares, &m_overload, &m_origins, &m_slots };
    RequestHandler handler(services, exchange);
    RequestsUnderWay::Entry entry(m_requests, [&handler] { handler.stop(); });
    handler.run();
    // A planned stop may have begun while the request was served.
    if (m_draining)
        exchange.closeAfterResponse();
}

size_t Gateway::inFlight() const { return m_requests.count() + m_openTunnels; }

void Gateway::drain()
{
    auto started = Common::now();
    auto schedule = Routing::DrainSchedule::within(started, m_settings.gracePeriod);
    m_requestsEndAt = schedule.answerFrom;
    m_draining = true;
    m_peers.leave();
    m_origins.handOver();
    Common::log(LogLevel::Info, "gateway", "drain.start", { { "in_flight", inFlight() } });
    while (Common::now() < schedule.refuseFrom)
        std::this_thread::sleep_for(drainPollInterval);
    m_refusesNewRequests = true;
    m_overload.stop();
    m_callers->closeIdle();
    while (Common::now() < schedule.answerFrom && inFlight())
        std::this_thread::sleep_for(drainPollInterval);
    m_requests.stopAll();
    while (Common::now() < schedule.end && inFlight())
        std::this_thread::sleep_for(drainPollInterval);
    if (m_usage) {
        m_usage->finish();
        std::this_thread::sleep_for(finalUsageExchanges * m_peers.exchangeInterval());
    }
    Common::log(LogLevel::Info, "gateway", "drain.end",
        { { "in_flight", inFlight() }, { "ms", Common::toMilliseconds(Common::now() - started).count() } });
}

} // namespace Brassladder::RouteServing::Gateway
