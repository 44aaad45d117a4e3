// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/UpstreamAttempt.h"

namespace Brassladder::RouteServing::Gateway {

using Routing::Fate;
using Routing::TryOutcome;

static constexpr unsigned firstServerFailure = 500;
static constexpr unsigned firstFailure = 400;

UpstreamAttempt::UpstreamAttempt(
    const HeaderScheme& headerScheme, Routing::UpstreamRegistry& registry, Routing::UpstreamRegistry::Placement choice)
    : m_headers(headerScheme)
    , m_registry(registry)
    , m_choice(std::move(choice))
{
    m_registry.recordStart(m_choice);
}

UpstreamAttempt::~UpstreamAttempt() { m_registry.recordEnd(m_choice, m_prefillDone, m_outcome, Common::now()); }

bool UpstreamAttempt::connect(const Terms& terms)
{
    m_connection = Common::HttpConnectionPool::here().acquireIdle(m_choice.upstream.endpoint, terms.maxIdleTime);
    if (m_connection)
        return true;
    m_connection = std::make_unique<Common::HttpConnection>();
    auto status = m_connection->connect(m_choice.upstream.endpoint, terms.connectTimeout);
    if (!isError(status))
        return true;
    m_problem = errorOf(status).message;
    if (!m_cancelled)
        m_outcome = TryOutcome::Unreachable;
    return false;
}

Fate UpstreamAttempt::start(const Common::HttpClientRequest& call, const Terms& terms)
{
    if (!connect(terms) || m_cancelled)
        return Fate::NotSent;
    auto answer = m_connection->start(call);
    if (isError(answer))
        return broken(errorOf(answer).message);
    m_head = std::move(valueOf(answer));
    return checkResponseHead(terms.requestId);
}

Fate UpstreamAttempt::checkResponseHead(std::string_view requestId)
{
    if (auto load = m_headers.upstream.load(m_head))
        m_registry.recordReport(m_choice.upstream.id, *load, Common::now());
    auto answeredId = m_head.header(m_headers.caller.requestIdHeader);
    if (!answeredId.empty() && answeredId != requestId)
        return broken("the answer belongs to another request");
    if (m_headers.upstream.isNotExecuted(m_head)) {
        m_outcome = TryOutcome::Refused;
        m_problem = "refused with status " + std::to_string(m_head.status);
        return Fate::Refused;
    }
    bool isFailure = m_head.status >= firstFailure;
    if (answeredId.empty())
        return broken("the answer names no request");
    if (!isFailure && m_head.header(m_headers.upstream.executionProofHeader).empty())
        return broken("the answer lacks its proof");
    m_outcome = m_head.status >= firstServerFailure ? TryOutcome::Failed : TryOutcome::Answered;
    return Fate::Ran;
}

Fate UpstreamAttempt::broken(std::string problem)
{
    m_problem = std::move(problem);
    m_outcome = m_cancelled ? TryOutcome::Withdrawn : TryOutcome::Broken;
    m_connection->close();
    return Fate::MaybeRan;
}

Common::Result<std::string_view> UpstreamAttempt::readPiece()
{
    auto piece = m_connection->readPiece();
    if (isError(piece))
        broken(errorOf(piece).message);
    return piece;
}

Common::Result<std::string> UpstreamAttempt::readBody(size_t limit)
{
    auto body = m_connection->readRest(limit);
    if (isError(body))
        broken(errorOf(body).message);
    return body;
}

void UpstreamAttempt::recordPrefillDone()
{
    if (m_prefillDone)
        return;
    m_prefillDone = true;
    m_registry.prefillDone(m_choice);
}

void UpstreamAttempt::finish()
{
    Common::HttpConnectionPool::here().release(m_choice.upstream.endpoint, std::move(m_connection));
}

void UpstreamAttempt::cancel()
{
    m_cancelled = true;
    if (m_connection)
        m_connection->close();
}

} // namespace Brassladder::RouteServing::Gateway
