// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpServer.h"
#include "RouteServing/Duties/UsageStart.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Gateway/KvReplica.h"
#include "RouteServing/Gateway/PlatformWatcher.h"
#include "RouteServing/Gateway/RequestReport.h"
#include "RouteServing/Gateway/RetryWindows.h"
#include "RouteServing/Gateway/StreamRelay.h"
#include "RouteServing/Gateway/SuspectCheck.h"
#include "RouteServing/Gateway/UpstreamAttempt.h"
#include "RouteServing/Gateway/UsageExchange.h"
#include "RouteServing/Routing/Admission.h"
#include "RouteServing/Routing/FreshnessLease.h"
#include "RouteServing/Routing/RetryPolicy.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <optional>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// What all requests share.
struct RequestServices {
    const HeaderScheme& headers;
    const PlatformWatcher& watcher;
    const Routing::FreshnessLease& lease;
    Routing::UpstreamRegistry& registry;
    RetryWindows& retries;
    SuspectCheck::Parts suspects;
    UsageExchange* usage { nullptr }; // Null where nobody reports usage.
    bool isStopping { false }; // Late in a planned stop: nothing new is begun.
};

// Serves one request of a caller from its arrival to its final response: admission, attempts at upstreams, relay,
// report. The rules stand in Routing/ (Admission, UpstreamRegistry, ConnectionPolicy, RetryPolicy, ReplicaPolicy); this
// class carries them out. Belongs to the fiber that serves the connection.
class RequestHandler {
public:
    RequestHandler(const RequestServices&, Common::HttpExchange&);

    void run();

private:
    using Placement = Routing::UpstreamRegistry::Placement;
    enum class Next : uint8_t { Done, Retry };

    bool admit();
    void readPrompt();
    std::optional<Common::Milliseconds> callerTimeout() const;
    std::string_view key() const { return m_services.headers.caller.key(m_exchange.request()); }
    bool areKeysConfirmed() const { return m_services.lease.isFresh(Common::now()); }
    bool isPastDeadline() const { return Common::now() >= m_deadline; }
    // The caller left, and what it asked for is of no use to anybody.
    bool isAbandoned() const;

    void runAttempts();
    std::optional<Routing::Refusal> refusalBeforeAttempt() const;
    std::optional<Placement> choosePlacement(Common::TimePoint now);
    // Whether to look for an upstream once more, after a moment in which a quota may have come.
    bool awaitQuota();
    Routing::Refusal noUpstreamRefusal() const;
    Routing::Refusal refusalAfter(const UpstreamAttempt&) const;
    void chooseReplica(Common::TimePoint now);
    Next runAttempt(const Placement&);
    Next relayWhole(UpstreamAttempt&);
    Next relayStream(UpstreamAttempt&);
    Next onFailure(const UpstreamAttempt&);
    void logFailure(const UpstreamAttempt&, bool retries) const;
    bool prepareRetry(const UpstreamAttempt&);
    void onCallerGone(const UpstreamAttempt&);
    // The request has begun to run at an upstream: counted once, however many attempts it takes.
    void countUsage();
    void countUsageIfStarted(const UpstreamAttempt&);

    Routing::UpstreamRegistry::PlacementRequest placementRequest() const;
    Common::HttpClientRequest requestFor(const Placement&) const;
    // How urgent the request is among all, 0 the most.
    size_t rank() const;
    std::optional<size_t> engineLevel(const Placement&) const;
    void refuse(const Routing::Refusal&);
    void abortResponse(std::string_view reason);
    void report();

    const RequestServices m_services;
    Common::HttpExchange& m_exchange;
    // On arrival. Read before the configuration, which is then at least as new as what the lease stands for.
    const bool m_keysWereConfirmed;
    ConfigurationPtr m_configuration; // Keeps the table that the pointers below refer to.
    const Routing::RouteTable* m_table { nullptr };
    const Routing::Route* m_route { nullptr };
    const Routing::Workspace* m_workspace { nullptr };
    std::string m_service;
    const Routing::EngineTraits* m_engine { nullptr }; // Null for a plain service.
    Routing::Prompt m_prompt; // Of a generation.
    Common::TimePoint m_deadline;
    Routing::AttemptHistory m_history;
    UpstreamAttempt* m_currentAttempt { nullptr }; // While an attempt runs.
    SuspectCheck m_suspectCheck;
    bool m_isUsageCounted { false }; // See countUsage.
    bool m_isAwaitingQuota { false }; // See awaitQuota.
    KvReplica m_replica;
    std::optional<Placement> m_failover; // Where the run goes on, when its engine broke off.
    StreamRelay m_stream;
    RequestReport m_report;
};

} // namespace Brassladder::RouteServing::Gateway
