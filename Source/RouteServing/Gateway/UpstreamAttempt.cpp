// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/UpstreamAttempt.h"

#include "Common/HttpConnectionPool.h"
#include "Common/HttpStatus.h"
#include "RouteServing/Gateway/GatewayMetrics.h"
#include "RouteServing/Gateway/ResponseStatement.h"

namespace Brassladder::RouteServing::Gateway {

using Routing::AttemptOutcome;

// How long an upstream may work on a request whose connection has closed. Most upstreams stop at once.
static constexpr Common::Milliseconds lostRunTime { 500 };

UpstreamAttempt::UpstreamAttempt(
    const HeaderScheme& headers, Routing::UpstreamRegistry& registry, Routing::UpstreamRegistry::Placement placement)
    : m_headers(headers)
    , m_registry(registry)
    , m_placement(std::move(placement))
{
    m_registry.recordStart(m_placement);
}

UpstreamAttempt::~UpstreamAttempt()
{
    if (m_slot)
        m_slot->setRelease(slotRelease());
    m_registry.recordEnd(m_placement, m_isPrefillDone, m_outcome, Common::now());
}

void UpstreamAttempt::setSlots(SlotExchange& slots, Common::TimePoint waitUntil, Common::TimePoint runUntil)
{
    m_slots = &slots;
    m_slotWaitEnd = waitUntil;
    m_runUntil = runUntil;
}

bool UpstreamAttempt::reserveSlot()
{
    const auto& upstream = m_placement.upstream;
    if (!m_slots || !m_registry.fragile().isFragile(upstream, Common::now()))
        return true;
    auto began = Common::now();
    m_registry.recordWaiting(m_placement, true);
    auto key = Routing::statementKey(upstream);
    auto outcome = m_slots->reserve(
        { key, upstream.slots, m_placement.rank, m_slotWaitEnd, m_runUntil, m_registry.fragile().knownSince(key) });
    m_registry.recordWaiting(m_placement, false);
    m_slotWait = Common::toMilliseconds(Common::now() - began);
    if (auto* denial = std::get_if<SlotExchange::Denial>(&outcome)) {
        m_slotRetryAfter = denial->retryAfter;
        return false;
    }
    m_slot.emplace(std::get<SlotReservation>(std::move(outcome)));
    return true;
}

Routing::SlotRelease UpstreamAttempt::slotRelease() const
{
    bool isRunLost = Routing::ranAfter(m_outcome) == Common::Ran::Maybe;
    return { m_outcome == AttemptOutcome::NotExecuted, isRunLost ? lostRunTime : Common::Milliseconds(0) };
}

UpstreamConnector::Result UpstreamAttempt::openConnection(Common::Milliseconds timeout)
{
    if (m_connector)
        return m_connector->connect(m_placement.upstream, timeout);
    return UpstreamConnector({}).connect(m_placement.upstream, timeout);
}

bool UpstreamAttempt::connect(const Options& options)
{
    const auto& endpoint = m_placement.upstream.endpoint;
    if (!m_connector || m_connector->mayReuse(endpoint))
        m_connection = Common::HttpConnectionPool::forCurrentThread().acquireIdle(endpoint, options.maxIdleTime);
    if (m_connection)
        return true;
    auto opened = openConnection(options.connectTimeout);
    m_connection = std::move(opened.connection);
    m_relay = std::move(opened.relay);
    if (m_connection)
        return true;
    m_problem = std::move(opened.problem);
    m_connectionEnd = opened.end;
    if (!m_isCancelled)
        m_outcome = AttemptOutcome::ConnectFailed;
    return false;
}

AttemptOutcome UpstreamAttempt::start(const Common::HttpClientRequest& request, const Options& options)
{
    if (!reserveSlot())
        return withhold("no slot of the upstream is free");
    if (m_isCancelled || !connect(options) || m_isCancelled)
        return m_outcome;
    // Checked again, because the state may have changed during placement and connecting.
    if (!m_maySend())
        return withhold("the request may no longer be sent");
    auto permit = m_registry.permitSend(m_placement.upstream, Common::now(), m_placement.rank);
    if (!permit)
        return withhold("the upstream is in cooldown, is leaving, or has no quota left for this router");
    auto response = send(request, *permit);
    if (isError(response))
        return interrupt(errorOf(response).message);
    m_response = std::move(valueOf(response));
    recordStatement(options.requestId);
    m_outcome = checkResponseHead(options.requestId);
    if (m_outcome == AttemptOutcome::Answered || m_outcome == AttemptOutcome::ServerError)
        m_registry.recordResponse(m_placement.upstream);
    return m_outcome;
}

Common::Result<Common::HttpClientResponse> UpstreamAttempt::send(
    const Common::HttpClientRequest& request, Routing::SendPermit)
{
    m_sent = Common::now();
    m_onSend(m_sent);
    return m_connection->start(request);
}

AttemptOutcome UpstreamAttempt::withhold(std::string problem)
{
    // A pooled connection returns to the pool unused; a new one is closed.
    if (m_connection)
        releaseConnection();
    m_problem = std::move(problem);
    m_outcome = AttemptOutcome::Withheld;
    GatewayMetrics::requestWithheld();
    return m_outcome;
}

void UpstreamAttempt::recordStatement(std::string_view requestId)
{
    recordRates(requestId);
    const auto& upstream = m_placement.upstream;
    reportUnreadStatements(m_headers.upstream, m_response, upstream);
    auto statement = statementOf(m_headers.upstream, m_response);
    if (statement.isEmpty())
        return;
    if (m_registry.recordStatement(upstream, statement, Common::now()))
        reportStatement(upstream, statement, requestId);
}

// A response without the headers is recorded as well: it ends what was stated before.
void UpstreamAttempt::recordRates(std::string_view requestId)
{
    // Ignores a response to another request, which may be arbitrarily old.
    if (m_response.header(m_headers.caller.requestIdHeader) != requestId)
        return;
    const auto& upstream = m_placement.upstream;
    if (auto limit = limitStatementOf(m_headers.upstream, m_response)) {
        auto change = m_registry.quotas().recordStatement(upstream, *limit, m_sent, Common::now());
        reportLimit(upstream, *limit, change, requestId);
    }
    if (auto tolerance = toleranceStatementOf(m_headers.upstream, m_response)) {
        auto change = m_registry.fragile().recordStatement(upstream, *tolerance, m_sent, Common::now());
        reportTolerance(upstream, *tolerance, change, requestId);
    }
}

// Rejects a response to another request, and a response without the required headers. Neither may reach the caller.
AttemptOutcome UpstreamAttempt::checkResponseHead(std::string_view requestId)
{
    m_reportedLoad = m_headers.upstream.load(m_response);
    if (m_reportedLoad)
        m_registry.recordReport(m_placement.upstream.id, *m_reportedLoad, Common::now());
    auto respondedId = m_response.header(m_headers.caller.requestIdHeader);
    if (!respondedId.empty() && respondedId != requestId)
        return interrupt("the response belongs to another request");
    if (m_headers.upstream.isNotExecuted(m_response)) {
        m_problem = "refused with status " + std::to_string(m_response.status);
        GatewayMetrics::requestRejected(m_placement.upstream.service);
        return AttemptOutcome::NotExecuted;
    }
    if (respondedId.empty())
        return interrupt("response has no request id (" + m_headers.caller.requestIdHeader + ")");
    bool isSuccess = m_response.status < Common::firstClientError;
    if (isSuccess && m_response.header(m_headers.upstream.executionProofHeader).empty())
        return interrupt("response has no proof-of-execution header (" + m_headers.upstream.executionProofHeader + ")");
    return m_response.status >= Common::firstServerError ? AttemptOutcome::ServerError : AttemptOutcome::Answered;
}

AttemptOutcome UpstreamAttempt::interrupt(std::string problem)
{
    m_problem = std::move(problem);
    m_connectionEnd
        = m_connection->end() == Common::ConnectionEnd::None ? Common::ConnectionEnd::Unusable : m_connection->end();
    m_outcome = m_isCancelled ? AttemptOutcome::CancelledAfterSending : AttemptOutcome::Interrupted;
    m_connection->close();
    return m_outcome;
}

Common::Result<std::string_view> UpstreamAttempt::readBodyChunk()
{
    auto piece = m_connection->readBodyChunk();
    if (isError(piece))
        interrupt(errorOf(piece).message);
    return piece;
}

Common::Result<std::string> UpstreamAttempt::readBody(size_t limit, const Common::HttpConnection::Reserve& reserve)
{
    auto body = m_connection->readRemainingBody(limit, reserve);
    if (isError(body))
        interrupt(errorOf(body).message);
    return body;
}

void UpstreamAttempt::rejectBody(std::string problem)
{
    interrupt(std::move(problem));
    if (m_response.framing == Common::BodyFraming::UntilClose)
        m_connectionEnd = Common::ConnectionEnd::Closed;
}

void UpstreamAttempt::recordPrefillDone()
{
    if (m_isPrefillDone)
        return;
    m_isPrefillDone = true;
    m_registry.recordPrefillDone(m_placement, Common::now());
}

void UpstreamAttempt::recordEvents(size_t events) { recordPace(m_pauses.recordEvents(events, Common::now())); }

void UpstreamAttempt::recordPace(const std::optional<Routing::PauseSampler::Sample>& sample)
{
    if (!sample || !m_placement.tokensPerEvent)
        return;
    auto tokens = static_cast<double>(sample->events) * m_placement.tokensPerEvent;
    auto time = sample->perEvent * static_cast<Common::Duration::rep>(sample->events);
    m_registry.paces().recordDecode(m_placement.upstreamHash, tokens, time, Common::now());
}

void UpstreamAttempt::releaseConnection()
{
    recordPace(m_pauses.finish());
    // The pool keeps direct connections only.
    if (m_relay)
        return;
    Common::HttpConnectionPool::forCurrentThread().release(m_placement.upstream.endpoint, std::move(m_connection));
}

void UpstreamAttempt::cancel()
{
    m_isCancelled = true;
    if (m_connection)
        m_connection->close();
}

} // namespace Brassladder::RouteServing::Gateway
