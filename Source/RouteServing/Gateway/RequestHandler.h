// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpServer.h"
#include "RouteServing/Duties/UsageStart.h"
#include "RouteServing/Gateway/DemandRecord.h"
#include "RouteServing/Gateway/HeaderScheme.h"
#include "RouteServing/Gateway/KvReplica.h"
#include "RouteServing/Gateway/OverloadGate.h"
#include "RouteServing/Gateway/PlatformWatcher.h"
#include "RouteServing/Gateway/RequestReport.h"
#include "RouteServing/Gateway/RetryWindows.h"
#include "RouteServing/Gateway/RunHandover.h"
#include "RouteServing/Gateway/StreamContinuation.h"
#include "RouteServing/Gateway/StreamRelay.h"
#include "RouteServing/Gateway/SuspectCheck.h"
#include "RouteServing/Gateway/UpstreamAttempt.h"
#include "RouteServing/Gateway/UsageExchange.h"
#include "RouteServing/Routing/Admission.h"
#include "RouteServing/Routing/FreshnessLease.h"
#include "RouteServing/Routing/RetryPolicy.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// Components that all requests share.
struct RequestServices {
    const HeaderScheme& headers;
    PlatformWatcher& watcher;
    const Routing::FreshnessLease& lease;
    Routing::UpstreamRegistry& registry;
    RetryWindows& retries;
    SuspectCheck::Parts suspects;
    UpstreamConnector& connector;
    const Routing::RegionsByDomain& regions;
    UsageExchange* usage { nullptr }; // Null if usage is not reported.
    bool refusesNewRequests { false }; // Set late in a planned stop: new requests are refused.
    // When this router ends the requests under way; the maximum unless a planned stop has begun.
    const std::atomic<Common::TimePoint>& endsAt;
    Routing::WorkspaceShares* shares { nullptr }; // Null if shares are not computed.
    OverloadGate* overload { nullptr }; // Null if requests are neither held nor refused for lack of capacity.
    StreamOriginExchange* origins { nullptr }; // Null if no caller can take up a stream.
    SlotExchange* slots { nullptr }; // Null if no slots of fragile upstreams are reserved.
};

// Serves one request of a caller from its arrival to its final response: admission, attempts at upstreams, relay and
// report. Routing/ makes the decisions (Admission, UpstreamRegistry, ConnectionPolicy, RetryPolicy, ReplicaPolicy);
// this class carries them out. Used only by the fiber that serves the connection.
class RequestHandler {
public:
    RequestHandler(const RequestServices&, Common::HttpExchange&);

    void run();
    // Ends the request with a response, or a stream that has begun without its end, because this router stops. Must be
    // called on the thread of the request.
    void stop();

private:
    using Placement = Routing::UpstreamRegistry::Placement;
    enum class Next : uint8_t { Done, Retry };

    bool admit();
    void readPrompt();
    std::optional<Common::Milliseconds> callerTimeout() const;
    std::string_view key() const { return m_services.headers.caller.key(m_exchange.request()); }
    bool isKeyLeaseValid() const { return m_services.lease.isFresh(Common::now()); }
    // When the last attempt ends.
    Common::TimePoint deadline() const { return std::min(m_deadline, m_services.endsAt.load()); }
    bool isPastDeadline() const { return Common::now() >= deadline(); }
    // Whether the caller has disconnected and the request may be cancelled.
    bool isAbandoned() const;
    // Whether no further attempt may follow.
    bool isEnding() const { return m_isStopped || isAbandoned(); }

    void runAttempts();
    std::optional<Routing::Refusal> refusalBeforeAttempt() const;
    // Returns the refusal if the key of the request is no longer valid or cannot be confirmed.
    std::optional<Routing::Refusal> keyRefusal() const;
    // Waits while the engines of a generation are overloaded. Returns the refusal if the generation may not begin.
    std::optional<Routing::Refusal> awaitCapacity();
    OverloadGate::Generation generation() const;
    std::optional<Placement> choosePlacement(Common::TimePoint now);
    // Returns how long the next attempt may wait for a slot of a fragile upstream.
    Common::TimePoint slotWaitEnd() const;
    // Records how long the attempt waited for a slot, and whether it got one.
    void recordSlot(const UpstreamAttempt&);
    // Waits briefly for a quota. Returns whether to choose an upstream again.
    bool awaitQuota();
    Routing::Refusal noUpstreamRefusal() const;
    Routing::Refusal refusalAfter(const UpstreamAttempt&) const;
    void chooseReplica(const Placement&, Common::TimePoint now);
    Next runAttempt(const Placement&);
    Next relayWhole(UpstreamAttempt&);
    Next relayStream(UpstreamAttempt&);
    // Records for the log how the body of the response ended. `isCut`: it was not received completely.
    void recordUpstreamBody(const UpstreamAttempt&, bool isCut);
    Next onFailure(const UpstreamAttempt&);
    bool prepareRetry(const UpstreamAttempt&);
    // Whether the memory of an interrupted run without a replica may be moved to another engine.
    bool mayMoveRun() const;
    // Chooses where an interrupted run continues, unless a failover has chosen, and ends the run at its engine. Returns
    // whether it has ended there.
    bool handOver(const UpstreamAttempt&);
    // Chooses where the request begins again, and stops the interrupted run in the background.
    void beginAgain(const UpstreamAttempt&);
    InterruptedRun interruptedRun(const UpstreamAttempt&) const;
    void onCallerGone(const UpstreamAttempt&);
    Routing::Refusal stopRefusal() const;
    // Counts the request as usage of its workspace, once for all its attempts.
    void countUsage();
    // Counts the request if the attempt shows that it had started to run at the upstream.
    void countUsageIfStarted(const UpstreamAttempt&);

    Routing::UpstreamRegistry::PlacementRequest placementRequest() const;
    Common::HttpClientRequest requestFor(const Placement&) const;
    // Returns the urgency rank of the request; 0 is the most urgent.
    size_t rank() const;
    std::optional<size_t> engineLevel(const Placement&) const;
    void refuse(const Routing::Refusal&);
    void abortResponse(std::string_view reason);
    void report();

    const RequestServices m_services;
    Common::HttpExchange& m_exchange;
    // Whether the keys were confirmed on arrival. Read before the configuration, so the configuration is at least as
    // recent as the one that the lease confirms.
    const bool m_wasKeyLeaseValid;
    ConfigurationPtr m_configuration; // Keeps the table alive that the pointers below refer to.
    const Routing::RouteTable* m_table { nullptr };
    const Routing::Route* m_route { nullptr };
    const Routing::Workspace* m_workspace { nullptr };
    std::optional<Routing::DomainSet> m_allowedDomains; // nullopt if upstreams of all failure domains are allowed.
    std::string m_service;
    const Routing::EngineTraits* m_engine { nullptr }; // Null for a plain service.
    Routing::Prompt m_prompt; // Generations only.
    std::optional<bool> m_isDecodeHeavy; // As classified by the first placement, so that later ones agree.
    Common::TimePoint m_deadline;
    Routing::AttemptHistory m_history;
    UpstreamAttempt* m_currentAttempt { nullptr }; // Null between attempts.
    bool m_isStopped { false };
    SuspectCheck m_suspectCheck;
    DemandRecord m_demand;
    bool m_isUsageCounted { false };
    bool m_isAwaitingQuota { false };
    unsigned m_slotDenials { 0 }; // Attempts that were withheld because no slot was free.
    std::optional<Common::Milliseconds> m_slotRetryAfter; // The shortest retry time of these.
    OverloadGate::Outstanding m_outstanding; // Of the current attempt.
    KvReplica m_replica;
    std::optional<Placement> m_failover; // Where an interrupted run continues or begins again.
    StreamRelay m_stream;
    StreamContinuation m_continuation;
    RequestReport m_report;
};

} // namespace Brassladder::RouteServing::Gateway
