// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpServer.h"
#include "Inner/TunnelServer.h"
#include "RouteServing/Gateway/CrashDetector.h"
#include "RouteServing/Gateway/DutyRunner.h"
#include "RouteServing/Gateway/GatewaySettings.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Gateway/OverloadGate.h"
#include "RouteServing/Gateway/PeerExchange.h"
#include "RouteServing/Gateway/PlatformSources.h"
#include "RouteServing/Gateway/PlatformWatcher.h"
#include "RouteServing/Gateway/RequestsUnderWay.h"
#include "RouteServing/Gateway/RetryWindows.h"
#include "RouteServing/Gateway/SlotExchange.h"
#include "RouteServing/Gateway/StreamOriginExchange.h"
#include "RouteServing/Gateway/SuspectGuard.h"
#include "RouteServing/Gateway/UpstreamConnector.h"
#include "RouteServing/Gateway/UsageExchange.h"
#include "RouteServing/Routing/FreshnessLease.h"
#include "RouteServing/Routing/UpstreamRegistry.h"
#include "RouteServing/Routing/WorkspaceShares.h"

#include <atomic>
#include <memory>

namespace Brassladder::RouteServing::Gateway {

// A router that serves routes (`--serve=routes`). Creates and connects the components, and owns their background fibers
// and the ports for callers, readiness and metrics. Lives until the process ends.
class Gateway {
public:
    Gateway(Common::FiberRuntime&, GatewaySettings, HeaderScheme, const PlatformSources&);

    // Binds the ports and starts to serve. Returns PlatformUnavailable if a port cannot be bound.
    Common::Status start();
    uint16_t callerPort() const { return m_callers->port(); }
    uint16_t readinessPort() const { return m_readiness->port(); }
    uint16_t metricsPort() const { return m_metrics->port(); }
    // Number of routers that were ever announced, including this one; nullopt until the roster is known.
    std::optional<size_t> fleetSize() const { return m_peers.fleetSize(); }
    const Routing::UpstreamRegistry& registry() const { return m_registry; }
    Routing::UpstreamRegistry& registry() { return m_registry; }

    // Replaces how direct connections to upstreams are opened. Must be called before start().
    void setOpenDirect(UpstreamConnector::OpenDirect hook) { m_connector.setOpenDirect(std::move(hook)); }

    // Performs a planned stop (Routing/DrainSchedule.h): fails the readiness check at once, keeps serving until the
    // balancer has removed this instance, then refuses new requests until none is in flight or the grace period is
    // nearly over. Blocks; must be called from a plain thread, not from a fiber.
    void drain();

private:
    Common::HttpLimits callerLimits() const;
    Common::Status listen();
    Common::Result<Common::HttpServer*> listenOn(const Common::Endpoint&, Common::HttpHandler);
    void startBackgroundWork();
    void serveCaller(Common::HttpExchange&);
    // Requests of callers, and tunnels.
    size_t inFlight() const;
    void serveReadiness(Common::HttpExchange&) const;
    // Serves metrics and the suspects endpoint, which share one address.
    void serveOperator(Common::HttpExchange&);
    void serveMetrics(Common::HttpExchange&) const;
    bool isReady() const;
    bool admitsHead(const Common::HttpRequest&) const;
    // Whether another upstream answers on the connection; false for services without health checks.
    bool isOtherUpstream(Common::HttpConnection&, const Routing::UpstreamRecord&, Common::Milliseconds timeout) const;
    // Whether this router opens a tunnel to the upstream for another router.
    bool allowsTunnel(const Inner::TunnelServer::Upstream&) const;
    void updateRetryAllowance();
    void watchTimeBudgets() const;
    void startDuties(const PlatformSources&);
    Duties::Lease::Situation dutySituation() const;

    Common::FiberRuntime& m_runtime;
    GatewaySettings m_settings;
    HeaderScheme m_headers;
    Common::ConnectionBudget m_connections;
    Routing::FreshnessLease m_lease;
    Routing::UpstreamRegistry m_registry;
    UpstreamConnector m_connector;
    RetryWindows m_retries;
    Routing::WorkspaceShares m_shares;
    Routing::RequestHasher m_hasher;
    CrashDetector m_crashDetector;
    Routing::SuspectLedger m_suspects;
    SuspectGuard m_suspectGuard;
    PlatformWatcher m_watcher;
    std::unique_ptr<UsageExchange> m_usage; // Null if the fleet has no duties; `m_duties` is null then as well.
    OverloadGate m_overload;
    StreamOriginExchange m_origins;
    SlotExchange m_slots;
    PeerExchange m_peers;
    Inner::TunnelServer m_tunnels;
    std::unique_ptr<DutyRunner> m_duties;
    Common::HttpServer* m_callers { nullptr };
    Common::HttpServer* m_readiness { nullptr };
    Common::HttpServer* m_metrics { nullptr };
    std::atomic<bool> m_draining { false }; // Set when a planned stop begins.
    std::atomic<bool> m_refusesNewRequests { false }; // Set later in a planned stop: new requests are refused.
    RequestsUnderWay m_requests;
    std::atomic<Common::TimePoint> m_requestsEndAt { Common::TimePoint::max() };
    std::atomic<size_t> m_openTunnels { 0 }; // For other routers.
};

} // namespace Brassladder::RouteServing::Gateway
