// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/RequestHandler.h"

#include "Common/Digest.h"
#include "Common/HttpStatus.h"
#include "Common/Log.h"
#include "RouteServing/Gateway/Forwarding.h"
#include "RouteServing/Gateway/GatewayMetrics.h"
#include "RouteServing/Gateway/HeaderRules.h"
#include "RouteServing/Routing/ConnectionPolicy.h"
#include "RouteServing/Routing/NoUpstreamPolicy.h"
#include "RouteServing/Routing/ReplicaPolicy.h"

#include <absl/strings/match.h>

namespace Brassladder::RouteServing::Gateway {

using Common::ErrorKind;
using Common::LogLevel;
using Common::Milliseconds;
using Routing::AttemptOutcome;
using Routing::Refusal;
using Routing::RetryDecision;
using Routing::RouteKind;

// Poll interval of a request that waits for a quota; routers exchange quotas about ten times per second.
static constexpr Milliseconds quotaPollInterval { 20 };

RequestHandler::RequestHandler(const RequestServices& services, Common::HttpExchange& exchange)
    : m_services(services)
    , m_exchange(exchange)
    , m_wasKeyLeaseValid(isKeyLeaseValid())
    , m_configuration(services.watcher.configuration())
    , m_table(m_configuration ? &m_configuration->table : nullptr)
    , m_suspectCheck(services.suspects, exchange)
    , m_demand(services.shares)
    , m_replica(services.headers.upstream)
    , m_stream(exchange, Common::now())
    , m_continuation(services.headers, exchange, services.origins)
    , m_report(std::string(exchange.header(services.headers.caller.requestIdHeader)), Common::now())
{
}

// A stream that has begun goes on until the process ends, since it can get no other response.
void RequestHandler::stop()
{
    if (m_stream.hasSentHead())
        return;
    m_isStopped = true;
    if (m_currentAttempt)
        m_currentAttempt->cancel();
}

void RequestHandler::run()
{
    m_stream.setOnFirstEvent([this] {
        m_outstanding.recordFirstEvent(Common::now());
        m_continuation.recordFirstEvent(m_currentAttempt->upstream(), callerTimeout());
        m_report.recordFirstEvent(m_currentAttempt->upstream());
        countUsage();
    });
    m_stream.setMayBeEmpty(m_continuation.isTakenUp());
    if (admit()) {
        runAttempts();
        // The exchange outlives this handler, so its callback must be removed.
        m_exchange.watchCaller(nullptr);
    }
    report();
}

// Admission

bool RequestHandler::admit()
{
    Routing::RouterState state { m_services.refusesNewRequests, m_table, m_services.watcher.hasUpstreamList(),
        m_wasKeyLeaseValid };
    Routing::RequestTarget target { m_exchange.header("Host"), m_exchange.path(), key() };
    auto admission = Routing::admit(state, target);
    m_route = admission.route;
    m_workspace = admission.workspace;
    if (m_workspace)
        m_suspectCheck.setWorkspace(m_workspace->name);
    if (admission.refusal) {
        refuse(*admission.refusal);
        return false;
    }
    if (m_exchange.isBodyMissing()) {
        // The configuration or the state of this router has changed since the body was refused.
        refuse({ ErrorKind::NotReady, "the body was not read" });
        return false;
    }
    m_deadline = m_report.arrived + Routing::requestTimeout(*m_route, callerTimeout());
    m_allowedDomains = Routing::allowedDomains(
        m_services.regions, m_route->allowedRegions, m_workspace ? m_workspace->allowedRegions : std::nullopt);
    auto refusal = m_continuation.resolve(*m_route, m_workspace ? m_workspace->name : "", m_deadline);
    m_report.continued = m_continuation.stated();
    if (refusal) {
        refuse(*refusal);
        return false;
    }
    const auto& origin = m_continuation.origin();
    m_service = origin ? origin->service : Routing::pickService(*m_route, Common::randomNumber());
    readPrompt();
    m_services.retries.forService(m_service).countRequest(m_report.arrived);
    return true;
}

void RequestHandler::readPrompt()
{
    const auto* service = m_table->service(m_service);
    if (!service || !service->engine)
        return;
    m_engine = &*service->engine;
    m_prompt = m_services.headers.caller.prompt(m_exchange.request());
    m_suspectCheck.setPrompt(m_service, m_prompt);
    m_demand.recordArrival(m_service, m_workspace ? m_workspace->name : "", rank(), m_prompt, m_report.arrived);
}

std::optional<Milliseconds> RequestHandler::callerTimeout() const
{
    auto text = m_exchange.header(m_services.headers.caller.deadlineHeader);
    if (auto timeout = parseMilliseconds(text))
        return timeout;
    // Without a usable value, only the route's timeout applies: a refusal would fail a request that can be served.
    if (!text.empty())
        Common::log(LogLevel::Warning, "gateway", "request.bad_deadline",
            { { "request", m_report.requestId }, { "value", std::string(text) } });
    return std::nullopt;
}

// A once-only request is not cancelled when its caller disconnects, because the caller could not safely repeat it.
bool RequestHandler::isAbandoned() const { return m_exchange.callerGone() && m_route->kind != RouteKind::OnceOnly; }

// Attempts

void RequestHandler::runAttempts()
{
    m_exchange.watchCaller([this] {
        if (m_currentAttempt && m_route->kind != RouteKind::OnceOnly)
            m_currentAttempt->cancel();
    });
    while (true) {
        if (auto refusal = m_suspectCheck.awaitPermission(m_report.requestId, deadline()))
            return refuse(*refusal);
        if (auto refusal = awaitCapacity())
            return refuse(*refusal);
        if (auto refusal = refusalBeforeAttempt())
            return refuse(*refusal);
        if (m_slotDenials == Routing::maxSlotDenials)
            return refuse(noUpstreamRefusal());
        auto placement = choosePlacement(Common::now());
        if (!placement && awaitQuota())
            continue;
        if (!placement)
            return refuse(noUpstreamRefusal());
        m_isAwaitingQuota = false;
        if (runAttempt(*placement) == Next::Done)
            return;
    }
}

OverloadGate::Generation RequestHandler::generation() const
{
    return { m_report.requestId, *m_route, m_workspace, m_service, *m_engine, m_prompt, rank(), m_report.arrived,
        m_deadline };
}

// Only before the first attempt: nothing was sent to an upstream yet.
std::optional<Refusal> RequestHandler::awaitCapacity()
{
    bool isFirstAttempt = m_report.attemptedUpstreams.empty() && !m_isAwaitingQuota;
    // A stream that is taken up goes on without a wait: a part of its work is done already.
    bool isNew = isFirstAttempt && !m_continuation.origin();
    if (!m_services.overload || !m_engine || !isNew)
        return std::nullopt;
    return m_services.overload->awaitCapacity(generation(), [this] { return isEnding(); });
}

bool RequestHandler::awaitQuota()
{
    auto now = Common::now();
    bool mayWait = !isEnding() && now < m_report.arrived + Routing::maxQuotaWait(*m_route);
    if (!mayWait || !m_services.registry.quotaWait(placementRequest(), now))
        return false;
    m_isAwaitingQuota = true;
    Common::sleepFor(quotaPollInterval);
    return true;
}

Refusal RequestHandler::noUpstreamRefusal() const
{
    auto now = Common::now();
    auto anyUpstreamRequest = placementRequest();
    anyUpstreamRequest.attempted = {};
    const auto& registry = m_services.registry;
    auto version = m_continuation.requiredVersion();
    if (version && !m_history.mayHaveRun && !registry.listsVersion(m_service, *version))
        return { ErrorKind::StreamVersionGone, "no upstream of the version that began the stream is listed" };
    return Routing::noUpstreamRefusal({ registry.earliestCooldownEnd(anyUpstreamRequest, now),
                                          registry.quotaWait(anyUpstreamRequest, now), m_slotRetryAfter },
        m_history.mayHaveRun, now);
}

// Checked again before each attempt, since the deadline may have passed and the key may have been revoked meanwhile.
std::optional<Refusal> RequestHandler::refusalBeforeAttempt() const
{
    if (m_isStopped || Common::now() >= m_services.endsAt.load())
        return stopRefusal();
    if (isPastDeadline())
        return Refusal { m_history.mayHaveRun ? ErrorKind::UpstreamTimeout : ErrorKind::WaitExpired,
            "the deadline of the request has passed" };
    return keyRefusal();
}

Refusal RequestHandler::stopRefusal() const
{
    return { m_history.mayHaveRun ? ErrorKind::UpstreamTimeout : ErrorKind::Draining, "this instance stops" };
}

std::optional<Refusal> RequestHandler::keyRefusal() const
{
    // Reads the lease before the configuration, so the configuration is at least as recent as the one that the lease
    // confirms.
    bool isLeaseValid = isKeyLeaseValid();
    auto current = m_services.watcher.configuration();
    return Routing::revalidateKey(current->table, m_workspace, key(), isLeaseValid);
}

Routing::UpstreamRegistry::PlacementRequest RequestHandler::placementRequest() const
{
    Routing::UpstreamRegistry::PlacementRequest request;
    request.service = m_service;
    request.attempted = m_report.attemptedUpstreams;
    request.allowedDomains = m_allowedDomains ? &*m_allowedDomains : nullptr;
    // A suspect may crash its upstream. A request that found no slot needs another upstream that has one.
    request.onlyLeastLoaded = m_suspectCheck.runsExclusively() || m_slotDenials > 1;
    request.rank = rank();
    request.isWaitingForQuota = m_isAwaitingQuota;
    request.softwareVersion = m_continuation.requiredVersion();
    if (m_engine) {
        request.prompt = &m_prompt;
        request.engine = { m_engine->batch, m_engine->fetchesKvCache, m_table->shortestMaxPause(m_service) };
        request.isDecodeHeavy = m_isDecodeHeavy;
    }
    request.objective = m_route->objective;
    // A resumed stream has already met or missed its objective, so the objective is measured from now.
    request.due = (m_stream.hasSentHead() ? Common::now() : m_report.arrived) + m_route->objective;
    return request;
}

std::optional<RequestHandler::Placement> RequestHandler::choosePlacement(Common::TimePoint now)
{
    auto placement
        = m_failover ? std::exchange(m_failover, std::nullopt) : m_services.registry.choose(placementRequest(), now);
    if (!placement)
        return std::nullopt;
    placement->tokensPerEvent = m_engine ? m_engine->tokensPerEvent : 0;
    m_report.recordPlacement(*placement, m_services.watcher.upstreamsOrigin());
    m_isDecodeHeavy = placement->isDecodeHeavy;
    m_demand.recordAdmitted(now);
    chooseReplica(*placement, now);
    return placement;
}

void RequestHandler::chooseReplica(const Placement& placement, Common::TimePoint now)
{
    bool engineReplicates = m_engine && m_engine->replicatesKvCache;
    // A replica would expose a second engine to a suspect.
    engineReplicates = engineReplicates && !m_suspectCheck.runsExclusively();
    bool failuresAreLikely = engineReplicates && m_services.registry.midStreamFailuresAreLikely(now);
    if (!Routing::shouldReplicate(*m_route, m_isDecodeHeavy.value_or(false), engineReplicates, failuresAreLikely))
        return m_replica.drop();
    auto request = placementRequest();
    request.softwareVersion = placement.upstream.softwareVersion;
    m_replica.choose(m_services.registry, request, now);
}

// A response without a content type is a stream on a route of streams.
static bool isEventStream(const Common::HttpClientResponse& response)
{
    auto contentType = response.header("Content-Type");
    bool hasEvents = contentType.empty()
        || absl::StartsWithIgnoreCase({ contentType.data(), contentType.size() }, "text/event-stream");
    return response.status < Common::firstClientError && hasEvents;
}

RequestHandler::Next RequestHandler::runAttempt(const Placement& placement)
{
    UpstreamAttempt attempt(m_services.headers, m_services.registry, placement);
    m_currentAttempt = &attempt;
    attempt.setConnector(m_services.connector);
    attempt.setOnSend(
        [this](Common::TimePoint now) { m_report.recordSend(m_services.watcher.upstreamsOrigin(), now); });
    attempt.setSendCheck([this] {
        m_services.watcher.awaitRecentUpstreams();
        return !keyRefusal() && !m_suspectCheck.isRestricted();
    });
    if (m_services.slots)
        attempt.setSlots(*m_services.slots, slotWaitEnd(), deadline());
    // Without a stream, the first event is not seen.
    if (m_services.overload && m_engine)
        m_outstanding = m_services.overload->begin(
            generation(), placement.prefillTokens, m_stream.hasSentHead() || m_route->kind != RouteKind::Stream);
    auto outcome = attempt.start(requestFor(placement),
        { m_report.requestId, Routing::connectTimeout(*m_route), Routing::maxIdleTime(*m_route) });
    auto next = Next::Done;
    m_report.relay = attempt.relay() ? attempt.relay()->text() : "";
    recordSlot(attempt);
    m_report.statedTolerance = attempt.response().header(m_services.headers.upstream.toleranceHeader);
    m_report.statedLimit = attempt.response().header(m_services.headers.upstream.limitHeader);
    countUsageIfStarted(attempt);
    if (isAbandoned()) {
        onCallerGone(attempt);
    } else if (Routing::ranAfter(outcome) != Common::Ran::Yes) {
        next = onFailure(attempt);
    } else if (m_route->kind == RouteKind::Stream && isEventStream(attempt.response())) {
        next = relayStream(attempt);
    } else {
        next = relayWhole(attempt);
    }
    m_currentAttempt = nullptr;
    m_outstanding.end();
    return next;
}

Common::TimePoint RequestHandler::slotWaitEnd() const
{
    auto from = m_stream.hasSentHead() ? Common::now() : m_report.arrived;
    return std::min(deadline(), from + Routing::maxSlotWait(*m_route));
}

void RequestHandler::recordSlot(const UpstreamAttempt& attempt)
{
    if (const auto& wait = attempt.slotWait())
        m_report.slotWait = m_report.slotWait.value_or(Milliseconds(0)) + *wait;
    const auto& retryAfter = attempt.slotRetryAfter();
    if (!retryAfter)
        return;
    ++m_slotDenials;
    m_slotRetryAfter = std::min(*retryAfter, m_slotRetryAfter.value_or(*retryAfter));
}

void RequestHandler::countUsageIfStarted(const UpstreamAttempt& attempt)
{
    Duties::EndedAttempt ended;
    ended.outcome = attempt.outcome();
    ended.isGeneration = m_engine != nullptr;
    ended.elapsed = Common::toMilliseconds(Common::now() - m_report.lastPlaced);
    if (m_report.expectedFirstEvent.count() > 0)
        ended.expectedFirstEvent = m_report.expectedFirstEvent;
    if (Duties::countsAsUsage(ended))
        countUsage();
}

void RequestHandler::countUsage()
{
    if (m_services.usage && m_workspace && !std::exchange(m_isUsageCounted, true))
        m_services.usage->count(m_workspace->name);
}

static ResponseEnd responseEnd(Common::BodyFraming framing)
{
    return framing == Common::BodyFraming::UntilClose ? ResponseEnd::Closed : ResponseEnd::Complete;
}

// Buffers a plain response until it is complete, so that an interrupted one can still be retried.
RequestHandler::Next RequestHandler::relayWhole(UpstreamAttempt& attempt)
{
    auto body = attempt.readBody(
        Common::maxBufferedResponseBytes, [&](size_t bytes) { return m_exchange.reserveResponse(bytes, deadline()); });
    recordUpstreamBody(attempt, isError(body));
    if (isError(body)) {
        if (!isAbandoned())
            return onFailure(attempt);
        onCallerGone(attempt);
        return Next::Done;
    }
    attempt.releaseConnection();
    m_suspectCheck.recordCompleted(m_report.requestId, attempt, m_report.lastPlaced, !m_stream.hasSentHead());
    if (attempt.outcome() == AttemptOutcome::ServerError) {
        m_history.record(attempt.outcome());
        if (prepareRetry(attempt))
            return Next::Retry;
    }
    // The attempt should have resumed a stream: the caller already has the response head of an earlier attempt.
    if (m_stream.hasSentHead()) {
        abortResponse("stream_not_resumed");
        return Next::Done;
    }
    const auto& response = attempt.response();
    m_report.status = response.status;
    GatewayMetrics::firstByte(Common::now() - m_report.arrived);
    m_report.responseEnd = responseEnd(response.framing);
    m_exchange.respond({ response.status, std::move(valueOf(body)), {}, headersForCaller(response) }, response.framing);
    return Next::Done;
}

void RequestHandler::recordUpstreamBody(const UpstreamAttempt& attempt, bool isCut)
{
    m_report.recordUpstreamBody({ attempt.response().framing,
        isCut ? Common::name(attempt.connectionEnd()) : "complete", m_stream.unfinishedEventBytes() });
}

RequestHandler::Next RequestHandler::relayStream(UpstreamAttempt& attempt)
{
    bool isWholeRun = !m_stream.hasSentHead() && !m_continuation.isTakenUp();
    if (isWholeRun)
        m_stream.setOnLongRun([this, &attempt] { m_suspectCheck.recordLongRun(attempt); });
    auto result = m_stream.relay(attempt);
    m_stream.setOnLongRun([] {});
    recordUpstreamBody(attempt, result != StreamRelay::Result::Completed);
    switch (result) {
    case StreamRelay::Result::Completed:
        m_report.responseEnd = responseEnd(m_stream.framing());
        m_suspectCheck.recordCompleted(m_report.requestId, attempt, m_report.lastPlaced, isWholeRun);
        if (m_services.overload && m_engine)
            m_services.overload->recordOutput(generation(), m_outstanding, m_stream.eventCount());
        return Next::Done;
    case StreamRelay::Result::CallerGone:
        onCallerGone(attempt);
        return Next::Done;
    case StreamRelay::Result::Interrupted:
        return onFailure(attempt);
    }
    return Next::Done;
}

RequestHandler::Next RequestHandler::onFailure(const UpstreamAttempt& attempt)
{
    auto outcome = attempt.outcome();
    countUsageIfStarted(attempt);
    m_suspectCheck.recordFailure(m_report.requestId, attempt, m_report.lastPlaced);
    m_history.record(outcome);
    bool retries = prepareRetry(attempt);
    GatewayMetrics::attemptFailed(outcome, attempt.connectionEnd(), retries);
    reportFailedAttempt(m_report, attempt, retries, m_suspectCheck.knownIdentity());
    if (retries) {
        m_stream.discardPartialEvent();
        return Next::Retry;
    }
    if (m_stream.hasSentHead())
        abortResponse("stream_not_resumed");
    else
        refuse(refusalAfter(attempt));
    return Next::Done;
}

Refusal RequestHandler::refusalAfter(const UpstreamAttempt& attempt) const
{
    if (m_isStopped)
        return stopRefusal();
    auto refusal = Routing::refusalAfterFailure(m_history, attempt.outcome(), isPastDeadline(), attempt.problem());
    if (refusal.kind == ErrorKind::UpstreamRefused) {
        refusal.retryAfter
            = Routing::retryAfterRefusal(m_services.registry.hasHealthyUpstream(placementRequest(), Common::now()));
        if (m_services.overload && m_engine)
            refusal.retryAfter = m_services.overload->recordRejection(generation(), refusal.retryAfter);
    }
    return refusal;
}

// Records a failure although the caller has disconnected, because the upstream may have crashed at the same time.
void RequestHandler::onCallerGone(const UpstreamAttempt& attempt)
{
    m_suspectCheck.recordFailure(m_report.requestId, attempt, m_report.lastPlaced);
    abortResponse("caller_gone");
}

// Returns whether another attempt follows. Charges the next attempt to the retry budget, unless nothing was sent, and
// sets the placement of a failover.
bool RequestHandler::prepareRetry(const UpstreamAttempt& attempt)
{
    auto outcome = attempt.outcome();
    // The end of the caller's connection, or of this router, is reported only once: another attempt would go on.
    if (isEnding())
        return false;
    if (m_suspectCheck.forbidsRetry())
        return false;
    m_replica.setSource({});
    bool hasRelayedEvents = m_stream.lastEventId().has_value();
    bool isRunInterrupted = m_engine && outcome == AttemptOutcome::Interrupted;
    auto decision = Routing::decideRetry(*m_route, m_history, outcome, hasRelayedEvents, isPastDeadline());
    switch (decision) {
    case RetryDecision::GiveUp:
        return false;
    case RetryDecision::Retry:
        return true;
    case RetryDecision::RetryWithinBudget:
        break;
    case RetryDecision::FailOver:
        m_failover = m_replica.failOver(m_services.registry, m_report.requestId);
        // A run whose response was whole, such as a server error, has no memory left to move.
        if (!m_failover && !(isRunInterrupted && mayMoveRun()))
            return false;
        break;
    }
    if (isRunInterrupted && hasRelayedEvents && !handOver(attempt))
        return false;
    if (!m_services.retries.forService(m_service).takeRetry(Common::now()))
        return false;
    if (isRunInterrupted && !hasRelayedEvents)
        beginAgain(attempt);
    return true;
}

void RequestHandler::beginAgain(const UpstreamAttempt& attempt)
{
    m_failover = m_services.registry.choose(placementRequest(), Common::now());
    if (m_failover)
        discardRun(m_services.headers, m_services.connector, interruptedRun(attempt));
}

InterruptedRun RequestHandler::interruptedRun(const UpstreamAttempt& attempt) const
{
    return { m_report.requestId, attempt.upstream(), m_failover->upstream, m_engine->stopsRuns };
}

// A move would expose a second engine to a suspect, as a replica would.
bool RequestHandler::mayMoveRun() const { return m_engine->stopsRuns && !m_suspectCheck.runsExclusively(); }

bool RequestHandler::handOver(const UpstreamAttempt& attempt)
{
    bool hasReplica = m_failover.has_value();
    while (!m_failover) {
        m_failover = m_services.registry.choose(placementRequest(), Common::now());
        if (!m_failover && !awaitQuota())
            return false;
    }
    auto run = endRun(m_services.headers, m_services.connector, interruptedRun(attempt));
    // Without its memory, the run would begin again.
    bool mayContinue = hasReplica || !run.copy.empty() || m_route->mayRepeat();
    if (!run.copy.empty())
        m_replica.setSource(std::move(run.copy));
    // The caller may have left meanwhile.
    return mayContinue && Routing::mayContinueElsewhere(run.sign) && !isEnding();
}

// Requests and responses

Common::HttpClientRequest RequestHandler::requestFor(const Placement& placement) const
{
    auto resumeAfterEvent = m_stream.hasSentHead() ? m_stream.lastEventId() : std::nullopt;
    return requestForUpstream(m_services.headers,
        { m_exchange, m_report.requestId, deadline(), placement.upstream.id, m_workspace, engineLevel(placement),
            placement.prefixSource, resumeAfterEvent, m_replica },
        Common::now());
}

size_t RequestHandler::rank() const
{
    return m_table->urgency().rank(m_workspace ? m_workspace->priority : std::nullopt, m_route->priority);
}

// The priority level of a generation at its engine; nullopt for a plain service.
std::optional<size_t> RequestHandler::engineLevel(const Placement& placement) const
{
    if (!m_engine)
        return std::nullopt;
    return m_table->urgency().level(rank(), placement.punctuality, m_services.headers.upstream.priorityLevels);
}

void RequestHandler::refuse(const Refusal& refusal)
{
    m_demand.recordRefused(refusal.kind, Common::now());
    Refusal adjusted { Routing::reportableKind(refusal.kind, m_history.mayHaveRun), refusal.reason,
        refusal.retryAfter };
    if (m_stream.hasSentHead())
        return abortResponse(Common::name(adjusted.kind));
    auto response = refusalResponse(m_services.headers, adjusted, m_history.mayHaveRun, m_report.requestId);
    m_report.status = response.status;
    m_report.reason = Common::name(adjusted.kind);
    m_report.responseEnd = ResponseEnd::Complete;
    m_exchange.respond(response);
}

// Closes the connection before the end of the response, so that the caller detects the truncation.
void RequestHandler::abortResponse(std::string_view reason)
{
    m_exchange.abandon();
    m_report.responseEnd = ResponseEnd::Aborted;
    m_report.reason = reason;
}

void RequestHandler::report()
{
    auto now = Common::now();
    if (m_stream.hasSentHead())
        m_report.status = m_stream.status();
    if (m_route)
        m_report.route = m_route->name;
    if (m_table)
        m_report.basis
            = DecisionBasis { m_table->version(), m_services.lease.age(now), m_services.watcher.upstreamsAge(now) };
    m_report.streamTimes = m_stream.times();
    reportRequestEnd(m_report, now);
}

} // namespace Brassladder::RouteServing::Gateway
