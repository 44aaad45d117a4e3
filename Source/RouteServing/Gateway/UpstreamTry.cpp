// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/UpstreamTry.h"

namespace Brassladder::RouteServing::Gateway {

using Routing::Fate;
using Routing::TryOutcome;

static constexpr unsigned firstServerFailure = 500;
static constexpr unsigned firstFailure = 400;

UpstreamTry::UpstreamTry(const Dialect& dialect, Routing::UpstreamBoard& board, Routing::UpstreamBoard::Choice choice)
    : m_dialect(dialect)
    , m_board(board)
    , m_choice(std::move(choice))
{
    m_board.began(m_choice);
}

UpstreamTry::~UpstreamTry() { m_board.ended(m_choice, m_promptRead, m_outcome, Common::now()); }

bool UpstreamTry::connect(const Terms& terms)
{
    m_connection = Common::HttpConnectionPool::here().takeKept(m_choice.upstream.endpoint, terms.longestRest);
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

Fate UpstreamTry::start(const Common::HttpCall& call, const Terms& terms)
{
    if (!connect(terms) || m_cancelled)
        return Fate::NotSent;
    auto answer = m_connection->start(call);
    if (isError(answer))
        return broken(errorOf(answer).message);
    m_head = std::move(valueOf(answer));
    return judgeHead(terms.requestId);
}

Fate UpstreamTry::judgeHead(std::string_view requestId)
{
    if (auto load = m_dialect.upstream.load(m_head))
        m_board.reported(m_choice.upstream.id, *load, Common::now());
    auto answeredId = m_head.header(m_dialect.caller.requestIdHeader);
    if (!answeredId.empty() && answeredId != requestId)
        return broken("the answer belongs to another request");
    if (m_dialect.upstream.saysNotRun(m_head)) {
        m_outcome = TryOutcome::Refused;
        m_problem = "refused with status " + std::to_string(m_head.status);
        return Fate::Refused;
    }
    bool isFailure = m_head.status >= firstFailure;
    if (answeredId.empty())
        return broken("the answer names no request");
    if (!isFailure && m_head.header(m_dialect.upstream.proofHeader).empty())
        return broken("the answer lacks its proof");
    m_outcome = m_head.status >= firstServerFailure ? TryOutcome::Failed : TryOutcome::Answered;
    return Fate::Ran;
}

Fate UpstreamTry::broken(std::string problem)
{
    m_problem = std::move(problem);
    m_outcome = m_cancelled ? TryOutcome::Withdrawn : TryOutcome::Broken;
    m_connection->close();
    return Fate::MaybeRan;
}

Common::Result<std::string_view> UpstreamTry::readPiece()
{
    auto piece = m_connection->readPiece();
    if (isError(piece))
        broken(errorOf(piece).message);
    return piece;
}

Common::Result<std::string> UpstreamTry::readBody(size_t limit)
{
    auto body = m_connection->readRest(limit);
    if (isError(body))
        broken(errorOf(body).message);
    return body;
}

void UpstreamTry::notePromptRead()
{
    if (m_promptRead)
        return;
    m_promptRead = true;
    m_board.promptRead(m_choice);
}

void UpstreamTry::finish()
{
    Common::HttpConnectionPool::here().giveBack(m_choice.upstream.endpoint, std::move(m_connection));
}

void UpstreamTry::cancel()
{
    m_cancelled = true;
    if (m_connection)
        m_connection->close();
}

} // namespace Brassladder::RouteServing::Gateway
