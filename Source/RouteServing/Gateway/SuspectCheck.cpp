// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/SuspectCheck.h"

#include "Common/HttpStatus.h"
#include "Common/Log.h"

namespace Brassladder::RouteServing::Gateway {

using Common::ConnectionEnd;
using Common::ErrorKind;
using Common::LogLevel;
using Routing::AttemptOutcome;
using Routing::Refusal;

SuspectCheck::SuspectCheck(const Parts& parts, Common::HttpExchange& exchange)
    : m_parts(parts)
    , m_exchange(exchange)
{
}

SuspectCheck::~SuspectCheck()
{
    if (m_claimed)
        m_parts.guard.release(*m_claimed, m_upstreamDisconnected);
}

void SuspectCheck::setPrompt(const std::string& service, const Routing::Prompt& prompt)
{
    m_service = service;
    m_prompt = &prompt;
}

Routing::RequestTraits SuspectCheck::traits() const
{
    const auto& received = m_exchange.request();
    return { m_workspace, { received.method_string().data(), received.method_string().size() },
        m_exchange.header("Host"), m_exchange.target(), received.body() };
}

const Routing::RequestIdentity& SuspectCheck::identity()
{
    if (!m_identity)
        m_identity = m_parts.hasher.identity(traits());
    return *m_identity;
}

std::vector<Routing::RequestIdentity> SuspectCheck::promptParts(std::string_view softwareVersion) const
{
    std::vector<Routing::RequestIdentity> identities;
    for (const auto& part : m_prompt ? m_prompt->sharedParts() : std::span<const Routing::PromptPart> {})
        identities.push_back(Routing::RequestIdentity::ofPromptPart(m_service, softwareVersion, part.id));
    return identities;
}

bool SuspectCheck::mayBeSuspect() const
{
    const auto& ledger = m_parts.guard.ledger();
    return !ledger.isEmpty()
        && ledger.mayContain(m_parts.hasher.headHash(traits()), m_exchange.request().body().size());
}

Routing::SuspectLedger::Subject SuspectCheck::subject()
{
    Routing::SuspectLedger::Subject subject;
    if (m_parts.guard.ledger().hasPromptParts())
        subject.promptParts = promptParts("");
    if (mayBeSuspect())
        subject.request = identity();
    return subject;
}

bool SuspectCheck::isRestricted()
{
    if (m_claimed || m_parts.guard.ledger().isEmpty())
        return false;
    return m_parts.guard.ledger().judge(subject(), Common::now()).suspicion > Routing::Suspicion::Once;
}

// A request that crashes upstreams is repeated by its caller with a new request id, at any router. Its history is
// therefore checked before each attempt; otherwise it would crash one engine after another.
std::optional<Refusal> SuspectCheck::awaitPermission(const std::string& requestId, Common::TimePoint deadline)
{
    if (m_claimed || m_parts.guard.ledger().isEmpty())
        return std::nullopt;
    auto decision = m_parts.guard.acquire(subject(), { deadline, [this] { return m_exchange.callerGone(); } });
    if (decision.permission == SuspectGuard::Permission::Exclusive)
        m_claimed = decision.suspect;
    if (decision.permission == SuspectGuard::Permission::TimedOut)
        return Refusal { ErrorKind::WaitExpired, "another run of the same request did not end in time" };
    if (decision.permission != SuspectGuard::Permission::Held)
        return std::nullopt;
    logHeld(requestId, decision.suspect);
    return Refusal { ErrorKind::CrashesUpstreams, "upstreams crashed each time that the request ran" };
}

void SuspectCheck::logHeld(const std::string& requestId, const Routing::RequestIdentity& suspect)
{
    auto crashes = Common::Json::array();
    if (auto known = m_parts.guard.ledger().find(suspect)) {
        for (const auto& run : known->runs)
            crashes.push_back({ { "upstream", run.upstream.id }, { "request", run.requestId },
                { "ago_ms", Common::toMilliseconds(Common::now() - run.ended).count() } });
    }
    Common::log(LogLevel::Warning, "gateway", "request.held",
        { { "request", requestId }, { "kind", Routing::kindName(suspect) }, { "identity", suspect.text() },
            { "crashes", std::move(crashes) } });
}

Routing::InterruptedAttempt SuspectCheck::interruptedAttempt(
    const std::string& requestId, const UpstreamAttempt& attempt, Common::TimePoint sent)
{
    return { requestId, identity(), m_workspace, std::string(m_exchange.target()), sent, Common::now(),
        promptParts(attempt.upstream().softwareVersion) };
}

void SuspectCheck::recordFailure(const std::string& requestId, const UpstreamAttempt& attempt, Common::TimePoint sent)
{
    bool isDisconnect
        = attempt.connectionEnd() == ConnectionEnd::Closed || attempt.connectionEnd() == ConnectionEnd::Reset;
    m_upstreamDisconnected = attempt.outcome() == AttemptOutcome::Interrupted && isDisconnect;
    if (m_upstreamDisconnected)
        m_parts.crashDetector.recordDisconnect(attempt.upstream(), interruptedAttempt(requestId, attempt, sent));
}

bool SuspectCheck::forbidsRetry()
{
    if (!m_upstreamDisconnected)
        return false;
    auto judgement = m_parts.guard.ledger().judge(subject(), Common::now());
    return judgement.suspicion != Routing::Suspicion::None && !judgement.hasCompleted;
}

void SuspectCheck::recordCompleted(
    const std::string& requestId, const UpstreamAttempt& attempt, Common::TimePoint sent, bool isWholeRun)
{
    m_upstreamDisconnected = false;
    const auto& response = attempt.response();
    auto parts = promptParts(attempt.upstream().softwareVersion);
    if (isWholeRun && !parts.empty() && response.status < Common::firstClientError) {
        if (response.framing == Common::BodyFraming::UntilClose) {
            auto ended = interruptedAttempt(requestId, attempt, sent);
            ended.looksComplete = true;
            return m_parts.crashDetector.recordDisconnect(attempt.upstream(), std::move(ended));
        }
        m_parts.guard.ledger().recordCompletedParts(parts, Common::now());
    }
    if (mayBeSuspect())
        m_parts.guard.ledger().recordCompleted(identity(), Common::now());
}

void SuspectCheck::recordLongRun(const UpstreamAttempt& attempt)
{
    auto parts = promptParts(attempt.upstream().softwareVersion);
    if (!parts.empty() && attempt.response().status < Common::firstClientError)
        m_parts.guard.ledger().recordCompletedParts(parts, Common::now());
}

} // namespace Brassladder::RouteServing::Gateway
