// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/RequestHandler.h"

#include "Common/Digest.h"
#include "Common/HttpStatus.h"
#include "Common/Log.h"
#include "RouteServing/Gateway/Forwarding.h"
#include "RouteServing/Gateway/GatewayMetrics.h"
#include "RouteServing/Gateway/HeaderRules.h"
#include "RouteServing/Routing/ConnectionPolicy.h"
#include "RouteServing/Routing/ReplicaPolicy.h"

namespace Brassladder::RouteServing::Gateway {

using Common::ErrorKind;
using Common::LogLevel;
using Common::Milliseconds;
using Routing::AttemptOutcome;
using Routing::Refusal;
using Routing::RetryDecision;
using Routing::RouteKind;

RequestHandler::RequestHandler(const RequestServices& services, Common::HttpExchange& exchange)
    : m_services(services)
    , m_exchange(exchange)
    , m_keysWereConfirmed(areKeysConfirmed())
    , m_configuration(services.watcher.configuration())
    , m_table(m_configuration ? &m_configuration->table : nullptr)
    , m_replica(services.headers.upstream)
    , m_stream(exchange, Common::now())
    , m_report { std::string(exchange.header(services.headers.caller.requestIdHeader)), Common::now(), 0, {}, {}, {},
        {}, 0, 0, {}, false, m_stream.times() }
{
}

void RequestHandler::run()
{
    m_stream.setOnFirstEvent([this] { countStart(); });
    if (admit()) {
        runAttempts();
        // The exchange outlives this handler.
        m_exchange.watchCaller(nullptr);
        if (m_runsAlone)
            m_services.suspects.release(identity(), m_hasBrokenOff);
    }
    report();
}

// Admission

bool RequestHandler::admit()
{
    Routing::RouterState state { m_services.isStopping, m_table, m_services.watcher.knowsUpstreams(),
        m_keysWereConfirmed };
    Routing::RequestTarget target { m_exchange.header("Host"), m_exchange.path(), key() };
    auto admission = Routing::admit(state, target);
    m_route = admission.route;
    m_workspace = admission.workspace;
    if (admission.refusal) {
        refuse(*admission.refusal);
        return false;
    }
    m_deadline = m_report.arrived + Routing::requestTimeout(*m_route, callerTimeout());
    m_service = Routing::pickService(*m_route, Common::randomNumber());
    readGeneration();
    m_services.retries.of(m_service).countRequest(m_report.arrived);
    return true;
}

void RequestHandler::readGeneration()
{
    const auto* service = m_table->service(m_service);
    if (!service || !service->engine)
        return;
    m_engine = &*service->engine;
    m_prompt = m_services.headers.caller.prompt(m_exchange.request());
}

std::optional<Milliseconds> RequestHandler::callerTimeout() const
{
    auto text = m_exchange.header(m_services.headers.caller.deadlineHeader);
    if (auto timeout = parseMilliseconds(text))
        return timeout;
    // Without a usable value the route's timeout alone holds: refusing would fail a request that can be served.
    if (!text.empty())
        Common::log(LogLevel::Warning, "gateway", "request.bad_deadline",
            { { "request", m_report.requestId }, { "value", std::string(text) } });
    return std::nullopt;
}

// A once-only request is not cancelled when its caller disconnects: the caller could not safely repeat it.
bool RequestHandler::isAbandoned() const { return m_exchange.callerGone() && m_route->kind != RouteKind::OnceOnly; }

// Attempts

void RequestHandler::runAttempts()
{
    m_exchange.watchCaller([this] {
        if (m_current && m_route->kind != RouteKind::OnceOnly)
            m_current->cancel();
    });
    while (true) {
        if (auto refusal = awaitTurn())
            return refuse(*refusal);
        if (auto refusal = refusalBeforeAttempt())
            return refuse(*refusal);
        auto placement = choosePlacement(Common::now());
        if (!placement) {
            auto kind = m_history.mayHaveRun ? ErrorKind::UpstreamBroken : ErrorKind::NoUpstream;
            return refuse({ kind, "no upstream is left" });
        }
        if (runAttempt(*placement) == Next::Done)
            return;
    }
}

bool RequestHandler::mayBeSuspect() const
{
    const auto& ledger = m_services.suspects.ledger();
    return !ledger.isEmpty() && ledger.mayKnow(m_services.hasher.target(traits()), m_exchange.request().body().size());
}

// A request that ends its upstreams comes again with a new id, at any router: what it has done is asked for before each
// attempt, or it would end one engine after the other (27 in 43 s of a played day, with what ran beside it).
std::optional<Refusal> RequestHandler::awaitTurn()
{
    if (m_runsAlone || !mayBeSuspect())
        return std::nullopt;
    auto permission
        = m_services.suspects.acquire(identity(), { m_deadline, [this] { return m_exchange.callerGone(); } });
    m_runsAlone = permission == SuspectGuard::Permission::Alone;
    if (permission != SuspectGuard::Permission::Held)
        return std::nullopt;
    logHeld();
    return Refusal { ErrorKind::CrashesUpstreams, "upstreams crashed each time that it ran" };
}

void RequestHandler::logHeld()
{
    auto crashes = Common::Json::array();
    if (auto known = m_services.suspects.ledger().find(identity())) {
        for (const auto& run : known->runs)
            crashes.push_back({ { "upstream", run.upstream.id }, { "request", run.requestId },
                { "ago_ms", Common::toMilliseconds(Common::now() - run.ended).count() } });
    }
    Common::log(LogLevel::Warning, "gateway", "request.held",
        { { "request", m_report.requestId }, { "identity", identity().text() }, { "crashes", std::move(crashes) } });
}

// Checked again before each attempt: time has passed since the last one.
std::optional<Refusal> RequestHandler::refusalBeforeAttempt() const
{
    if (isPastDeadline())
        return Refusal { m_history.mayHaveRun ? ErrorKind::UpstreamTimeout : ErrorKind::WaitExpired, "out of time" };
    // The lease is read first: a table that is read after it is at least as new as what the lease stands for.
    bool keysAreConfirmed = areKeysConfirmed();
    auto inForce = m_services.watcher.configuration();
    return Routing::refusalOfKey(inForce->table, m_workspace, key(), keysAreConfirmed);
}

Routing::UpstreamRegistry::PlacementRequest RequestHandler::placementRequest() const
{
    Routing::UpstreamRegistry::PlacementRequest request;
    request.service = m_service;
    request.attempted = m_report.attemptedUpstreams;
    request.isolated = m_runsAlone;
    if (m_engine) {
        request.prompt = &m_prompt;
        request.engine = { m_engine->batch, m_engine->fetchesKvCache };
    }
    // A stream that goes on elsewhere has met its objective or missed it; its caller should not wait once more.
    request.due = (m_stream.hasBegun() ? Common::now() : m_report.arrived) + m_route->objective;
    return request;
}

std::optional<RequestHandler::Placement> RequestHandler::choosePlacement(Common::TimePoint now)
{
    auto placement
        = m_failover ? std::exchange(m_failover, std::nullopt) : m_services.registry.choose(placementRequest(), now);
    if (!placement)
        return std::nullopt;
    m_report.recordPlacement(*placement);
    chooseReplica(now);
    return placement;
}

void RequestHandler::chooseReplica(Common::TimePoint now)
{
    bool engineReplicates = m_engine && m_engine->replicatesKvCache;
    // A copy would carry a suspect to a second engine.
    engineReplicates = engineReplicates && !m_runsAlone;
    bool failuresAreLikely = engineReplicates && m_services.registry.midStreamFailuresAreLikely(now);
    if (Routing::wantsReplica(*m_route, m_prompt, engineReplicates, failuresAreLikely))
        m_replica.choose(m_services.registry, placementRequest(), now);
    else
        m_replica.drop();
}

RequestHandler::Next RequestHandler::runAttempt(const Placement& placement)
{
    UpstreamAttempt attempt(m_services.headers, m_services.registry, placement);
    m_current = &attempt;
    m_hasBrokenOff = false;
    auto outcome = attempt.start(requestFor(placement),
        { m_report.requestId, Routing::connectTimeout(*m_route), Routing::maxIdleTime(*m_route) });
    auto next = Next::Done;
    countStartAfter(attempt);
    if (isAbandoned()) {
        abandonCaller(attempt);
    } else if (Routing::ranAfter(outcome) != Common::Ran::Yes) {
        next = onFailure(attempt);
    } else if (m_route->kind == RouteKind::Stream && attempt.response().status < Common::firstClientError) {
        next = relayStream(attempt);
    } else {
        next = relayWhole(attempt);
    }
    m_current = nullptr;
    return next;
}

void RequestHandler::countStartAfter(const UpstreamAttempt& attempt)
{
    Duties::EndedAttempt ended;
    ended.outcome = attempt.outcome();
    ended.isGeneration = m_engine != nullptr;
    ended.elapsed = Common::toMilliseconds(Common::now() - m_report.lastPlaced);
    if (m_report.expectedFirstEvent.count() > 0)
        ended.expectedFirstEvent = m_report.expectedFirstEvent;
    if (Duties::hadBegun(ended))
        countStart();
}

void RequestHandler::countStart()
{
    if (m_services.usage && m_workspace && !std::exchange(m_isCounted, true))
        m_services.usage->count(m_workspace->name);
}

// A plain response is held until it is whole, so that one that breaks off can still be retried.
RequestHandler::Next RequestHandler::relayWhole(UpstreamAttempt& attempt)
{
    auto body = attempt.readBody(Common::maxWholeResponseBytes);
    if (isError(body)) {
        if (!isAbandoned())
            return onFailure(attempt);
        abandonCaller(attempt);
        return Next::Done;
    }
    attempt.releaseConnection();
    recordCompleted();
    if (attempt.outcome() == AttemptOutcome::ServerError) {
        m_history.record(attempt.outcome());
        if (prepareRetry(attempt))
            return Next::Retry;
    }
    // This response belongs to an attempt to resume the stream; the caller already has another response's head.
    if (m_stream.hasBegun()) {
        abandon("stream_not_resumed");
        return Next::Done;
    }
    const auto& response = attempt.response();
    m_report.status = response.status;
    GatewayMetrics::firstByte(Common::now() - m_report.arrived);
    m_exchange.respond({ response.status, std::move(valueOf(body)), {}, headersForCaller(response) });
    return Next::Done;
}

RequestHandler::Next RequestHandler::relayStream(UpstreamAttempt& attempt)
{
    switch (m_stream.relay(attempt)) {
    case StreamRelay::Result::Completed:
        recordCompleted();
        return Next::Done;
    case StreamRelay::Result::CallerGone:
        abandonCaller(attempt);
        return Next::Done;
    case StreamRelay::Result::BrokenOff:
        return onFailure(attempt);
    }
    return Next::Done;
}

RequestHandler::Next RequestHandler::onFailure(const UpstreamAttempt& attempt)
{
    auto outcome = attempt.outcome();
    countStartAfter(attempt);
    recordBreak(attempt);
    m_history.record(outcome);
    bool retries = prepareRetry(attempt);
    GatewayMetrics::attemptFailed(outcome, attempt.end(), retries);
    logFailure(attempt, retries);
    if (retries) {
        m_stream.discardPartialEvent();
        return Next::Retry;
    }
    if (m_stream.hasBegun())
        abandon("stream_not_resumed");
    else
        refuse(Routing::refusalAfterFailure(m_history, outcome, isPastDeadline(), attempt.problem()));
    return Next::Done;
}

void RequestHandler::logFailure(const UpstreamAttempt& attempt, bool retries) const
{
    Common::Json fields { { "request", m_report.requestId }, { "upstream", attempt.upstream().id },
        { "fate", Routing::fateLabel(attempt.outcome()) }, { "ended", Common::name(attempt.end()) },
        { "ms", Common::toMilliseconds(Common::now() - m_report.lastPlaced).count() },
        { "events", attempt.hasEvents() }, { "problem", attempt.problem() }, { "again", retries } };
    if (m_identity)
        fields["identity"] = m_identity->text();
    Common::log(LogLevel::Info, "gateway", "try.failed", std::move(fields));
}

Routing::RequestTraits RequestHandler::traits() const
{
    const auto& received = m_exchange.request();
    return { m_workspace ? std::string_view(m_workspace->name) : std::string_view(),
        { received.method_string().data(), received.method_string().size() }, m_exchange.header("Host"),
        m_exchange.target(), received.body() };
}

const Routing::RequestIdentity& RequestHandler::identity()
{
    if (!m_identity)
        m_identity = m_services.hasher.identity(traits());
    return *m_identity;
}

// A request that ever ends well is innocent, whatever crashed beside it.
void RequestHandler::recordCompleted()
{
    if (mayBeSuspect())
        m_services.suspects.ledger().recordCompleted(identity(), Common::now());
}

// Its upstream may have crashed at the same moment: evidence all the same.
void RequestHandler::abandonCaller(const UpstreamAttempt& attempt)
{
    recordBreak(attempt);
    abandon("caller_gone");
}

void RequestHandler::recordBreak(const UpstreamAttempt& attempt)
{
    bool wasEndedThere
        = attempt.end() == Common::ConnectionEnd::Closed || attempt.end() == Common::ConnectionEnd::Reset;
    m_hasBrokenOff = attempt.outcome() == AttemptOutcome::BrokenOff && wasEndedThere;
    if (!m_hasBrokenOff)
        return;
    m_services.crashes.record(attempt.upstream(),
        { m_report.requestId, identity(), m_workspace ? m_workspace->name : std::string(),
            std::string(m_exchange.target()), m_report.lastPlaced, Common::now() });
}

// Whether there is another attempt. Takes it from the retry budget, and sets where a failover goes.
bool RequestHandler::prepareRetry(const UpstreamAttempt& attempt)
{
    auto outcome = attempt.outcome();
    // Nobody waits for the response. The caller's leaving is reported once, so nothing would cancel another attempt.
    if (isAbandoned())
        return false;
    // A second upstream may have crashed under it, and a third attempt would take a third one with all that runs there.
    if (m_hasBrokenOff
        && m_services.suspects.ledger().suspicionOf(identity(), Common::now()) != Routing::Suspicion::None)
        return false;
    bool hasRelayedEvents = m_stream.lastEventId().has_value();
    auto decision = Routing::decideRetry(*m_route, m_history, outcome, hasRelayedEvents, isPastDeadline());
    switch (decision) {
    case RetryDecision::GiveUp:
        return false;
    case RetryDecision::Retry:
        return true;
    case RetryDecision::RetryWithinBudget:
        break;
    case RetryDecision::FailOver:
        m_failover = m_replica.failOver(m_services.registry);
        if (!m_failover)
            return false;
        break;
    }
    return m_services.retries.of(m_service).takeRetry(Common::now());
}

// What is sent

Common::HttpClientRequest RequestHandler::requestFor(const Placement& placement) const
{
    auto resumeAfterEvent = m_stream.hasBegun() ? m_stream.lastEventId() : std::nullopt;
    return requestForUpstream(m_services.headers,
        { m_exchange, m_report.requestId, m_deadline, placement.upstream.id, m_workspace, engineLevel(placement),
            placement.prefixSource, resumeAfterEvent, m_replica },
        Common::now());
}

// How urgent the engine should take a generation; none for a plain service.
std::optional<size_t> RequestHandler::engineLevel(const Placement& placement) const
{
    if (!m_engine)
        return std::nullopt;
    const auto& urgency = m_table->urgency();
    auto rank = urgency.rank(m_workspace ? m_workspace->priority : std::nullopt, m_route->priority);
    return urgency.level(rank, placement.punctuality, m_services.headers.upstream.priorityLevels);
}

void RequestHandler::refuse(const Refusal& refusal)
{
    Refusal honest { Routing::honestKind(refusal.kind, m_history.mayHaveRun), refusal.reason };
    if (m_stream.hasBegun())
        return abandon(Common::name(honest.kind));
    auto response = refusalResponse(m_services.headers, honest, m_history.mayHaveRun, m_report.requestId);
    m_report.status = response.status;
    m_report.reason = Common::name(honest.kind);
    m_exchange.respond(response);
}

// Closes the connection without the end of the response, so that the caller cannot take it for whole.
void RequestHandler::abandon(std::string_view reason)
{
    m_exchange.abandon();
    m_report.reason = reason;
}

void RequestHandler::report()
{
    auto now = Common::now();
    if (m_stream.hasBegun())
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
