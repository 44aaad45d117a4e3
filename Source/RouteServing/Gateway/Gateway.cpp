// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/Gateway.h"

#include "Common/Log.h"
#include "Common/Metrics.h"
#include "RouteServing/Gateway/RequestHandler.h"

#include <thread>

namespace Brassladder::RouteServing::Gateway {

using Common::ErrorKind;
using Common::LogLevel;
using Common::Milliseconds;
using namespace std::chrono_literals;

// The lease ends this part of its bound early: for the way of the request to the upstream.
static constexpr int leaseMarginParts = 20;
// One reading of the configuration waits for this part of the bound within which it has to be in force. The next one
// confirms what was there when it began, so that word is up to two readings old when it is told on.
static constexpr int configurationWaitPercent = 25;
// While the store cannot be read, it is asked again after at most this part of the bound on configurations.
static constexpr int longestRetryPercent = 35;
// Word of the configuration is late at this part of the bound: there is time for readings of our own.
static constexpr int configurationLatePercent = 70;
// The list of upstreams is read this often within the bound on leaving upstreams, as percent of it: the rest is for a
// slow answer and the way of a request.
static constexpr int upstreamIntervalPercent = 45;
// Word of them is late at this part of the bound.
static constexpr int upstreamsLatePercent = 72;
// Of the retries that a window allows beyond the ratio, routers use this share together.
static constexpr double usedShareOfAllowance = 0.8;
static constexpr Milliseconds allowanceInterval = 1000ms;
// The balancer asks once a second and takes an instance out after two misses.
static constexpr Milliseconds balancerNotice = 2500ms;
// Before the end of the grace, what is still in flight is given up.
static constexpr Milliseconds graceMargin = 250ms;
static constexpr Milliseconds drainPollInterval = 20ms;

static PlatformWatcher::RefreshIntervals intervalsFrom(const GatewaySettings& settings)
{
    PlatformWatcher::RefreshIntervals pace;
    pace.configurationLongPoll = settings.configuration * configurationWaitPercent / 100;
    pace.configurationStaleAfter = settings.configuration * configurationLatePercent / 100;
    pace.upstreamInterval = settings.leaving * upstreamIntervalPercent / 100;
    pace.upstreamsStaleAfter = settings.leaving * upstreamsLatePercent / 100;
    pace.maxBackoff = settings.configuration * longestRetryPercent / 100;
    return pace;
}

Gateway::Gateway(
    Common::FiberRuntime& runtime, GatewaySettings settings, HeaderScheme headerScheme, const PlatformSources& sources)
    : m_runtime(runtime)
    , m_settings(std::move(settings))
    , m_headers(std::move(headerScheme))
    , m_lease(m_settings.revocation - m_settings.revocation / leaseMarginParts)
    , m_registry(m_settings.failureDomain)
    , m_retries({ m_settings.retryRatio, 0, m_settings.retryWindow })
    , m_watcher(sources, intervalsFrom(m_settings), m_lease, m_registry)
    , m_peers(runtime, { sources.roster, m_watcher, m_lease, m_registry }, m_settings.id, m_settings.fleetKey)
{
}

Common::Result<Common::HttpServer*> Gateway::listen(const Common::Endpoint& endpoint, Common::HttpHandler handler)
{
    return Common::HttpServer::Builder(m_runtime).endpoint(endpoint).handler(std::move(handler)).build();
}

Common::Status Gateway::start()
{
    auto callerLimits = [this] {
        Common::HttpLimits limits;
        limits.connections = m_settings.callerConnections;
        if (auto configuration = m_watcher.configuration()) {
            const auto& told = configuration->table.limits();
            limits.headerBytes = told.headerBytes;
            limits.bodyBytes = told.bodyBytes;
            limits.receive = told.headerTimeout;
            limits.idle = told.idleTimeout;
        }
        return limits;
    };
    auto callers = Common::HttpServer::Builder(m_runtime)
                       .endpoint(m_settings.callers)
                       .limits(callerLimits)
                       .handler([this](Common::HttpExchange& exchange) { serveCaller(exchange); })
                       .build();
    if (isError(callers))
        return errorOf(callers);
    m_callers = valueOf(callers);
    auto readiness = listen(m_settings.readiness, [this](Common::HttpExchange& exchange) { serveReadiness(exchange); });
    if (isError(readiness))
        return errorOf(readiness);
    m_readiness = valueOf(readiness);
    auto metrics = listen(m_settings.metrics, [](Common::HttpExchange& exchange) {
        exchange.respond({ 200, Common::Metrics::expose(), "text/plain; version=0.0.4", {} });
    });
    if (isError(metrics))
        return errorOf(metrics);
    if (auto inner = m_peers.listen(m_settings.inner); isError(inner))
        return errorOf(inner);
    m_runtime.spawn([this] { m_watcher.watchConfiguration(); });
    m_runtime.spawn([this] { m_watcher.watchUpstreams(); });
    m_runtime.spawn([this] { m_peers.watchRoster(); });
    m_runtime.spawn([this] { m_peers.exchange(); });
    m_runtime.spawn([this] { shareAllowance(); });
    return Common::Done {};
}

void Gateway::shareAllowance()
{
    while (true) {
        if (auto routers = m_peers.fleetSize())
            m_retries.setAllowance(m_settings.retryAllowance * usedShareOfAllowance / static_cast<double>(*routers));
        Common::sleepFor(allowanceInterval);
    }
}

bool Gateway::isReady() const
{
    return !m_draining && m_watcher.configuration() && m_watcher.knowsUpstreams() && m_lease.isFresh(Common::now());
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
    m_inFlight.fetch_add(1);
    if (m_draining)
        exchange.closeAfterAnswer();
    RequestHandler({ m_headers, m_watcher, m_lease, m_registry, m_retries, m_closing }, exchange).run();
    if (m_draining)
        exchange.closeAfterAnswer();
    m_inFlight.fetch_sub(1);
}

void Gateway::drain()
{
    auto started = Common::now();
    m_draining = true;
    m_peers.leave();
    Common::log(LogLevel::Info, "gateway", "drain.start", { { "in_flight", m_inFlight.load() } });
    auto noticed = started + std::min(balancerNotice, m_settings.grace / 2);
    auto end = started + m_settings.grace - std::min(graceMargin, m_settings.grace / 4);
    while (Common::now() < noticed)
        std::this_thread::sleep_for(drainPollInterval);
    m_closing = true;
    m_callers->closeIdle();
    while (Common::now() < end && m_inFlight.load())
        std::this_thread::sleep_for(drainPollInterval);
    Common::log(LogLevel::Info, "gateway", "drain.end",
        { { "in_flight", m_inFlight.load() }, { "ms", Common::toMilliseconds(Common::now() - started).count() } });
}

} // namespace Brassladder::RouteServing::Gateway
