// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/Generation.h"

#include "ClassServing/Frontend/RequestMetrics.h"

namespace Brassladder::ClassServing::Frontend {

using Common::Error;
using Common::ErrorKind;
using Common::Json;
using Common::Ran;
using Common::Status;
using Scheduling::SlotOutcome;

Common::HttpResponse Generation::responseHead(std::string contentType) const
{
    return { 200, {}, std::move(contentType),
        { { std::string(requestIdHeader), m_context.requestId }, { "Cache-Control", "no-cache" } } };
}

AttemptResult Generation::runOnEngine(const Membership::Upstream& upstream)
{
    auto stream = std::make_shared<Upstream::EngineStream>(upstream.endpoint, m_context.requestId);
    auto& io = Common::FiberRuntime::currentContext();
    m_context.signal->setOnPreempt([&io, weak = std::weak_ptr(stream)] {
        boost::asio::post(io, [weak] {
            if (auto live = weak.lock())
                live->pause();
        });
    });
    m_context.exchange.watchCaller([signal = m_context.signal, weak = std::weak_ptr(stream)] {
        signal->cancel();
        if (auto live = weak.lock())
            live->cancel();
    });
    auto attempt = relay(*stream);
    m_context.signal->setOnPreempt(nullptr);
    m_context.exchange.watchCaller([signal = m_context.signal] { signal->cancel(); });
    return attempt;
}

std::optional<Error> Generation::open(Upstream::EngineStream& stream)
{
    auto tier = m_context.policy().tier;
    Status status = m_paused ? stream.resume(m_tokens, tier, m_timeouts)
                             : stream.start(m_body, tier, !m_context.requestClass->noRepeat, m_timeouts);
    if (isError(status))
        return errorOf(status);
    return std::nullopt;
}

AttemptResult Generation::relay(Upstream::EngineStream& stream)
{
    if (auto error = open(stream))
        return failedResult(*error);
    m_paused = false;
    uint32_t before = m_tokens;
    m_firstToken = {};
    while (true) {
        auto event = stream.next();
        if (isError(event))
            return failedResult(errorOf(event));
        if (const auto* token = std::get_if<Upstream::Token>(&valueOf(event))) {
            if (relayToken(*token))
                continue;
            stream.cancel();
            return failedResult(Common::makeError(ErrorKind::CallerGone, "the caller disconnected"));
        }
        uint32_t tokens = m_tokens - before;
        auto perToken = tokens > 1 ? (m_lastToken - m_firstToken) / (tokens - 1) : Common::Duration::zero();
        m_paused = std::holds_alternative<Upstream::Paused>(valueOf(event));
        if (m_paused)
            m_context.explanation->step("paused", { { "tokens", m_tokens } });
        return { m_paused ? SlotOutcome::Preempted : SlotOutcome::Completed, std::nullopt, tokens, perToken };
    }
}

bool Generation::relayToken(const Upstream::Token& token)
{
    m_lastToken = Common::now();
    if (m_firstToken == Common::TimePoint {})
        m_firstToken = m_lastToken;
    ++m_tokens;
    if (!m_hasFirstToken) {
        m_hasFirstToken = true;
        RequestMetrics::answered(*m_context.requestClass, m_lastToken - m_context.arrivedAt);
        m_context.explanation->step("first_token");
        if (m_streaming && !m_context.exchange.beginStream(responseHead("text/event-stream")))
            return false;
    }
    if (m_streaming) {
        m_context.relayed = true;
        return m_context.exchange.write(token.raw);
    }
    if (m_context.exchange.callerGone())
        return false;
    auto json = Common::parseJson(token.data);
    if (!json.is_object() || !json.contains("choices") || !json["choices"].is_array() || json["choices"].empty())
        return true;
    const auto& choice = json["choices"][0];
    if (choice.is_object() && choice.contains("delta"))
        m_text += Common::member<std::string>(choice["delta"], "content", "");
    auto reason = Common::member<std::string>(choice, "finish_reason", "");
    if (!reason.empty())
        m_finishReason = reason;
    return true;
}

AttemptResult Generation::failedResult(const Error& error)
{
    const auto& name = m_context.policy().name;
    if (m_context.signal->isCancelled() || m_context.exchange.callerGone() || error.kind == ErrorKind::CallerGone) {
        m_context.signal->cancel();
        RequestMetrics::wasted(name, Waste::CallerGone, m_tokens);
        return { SlotOutcome::Cancelled, Common::makeError(ErrorKind::CallerGone, "the caller disconnected"), m_tokens,
            {} };
    }
    RequestMetrics::wasted(
        name, error.kind == ErrorKind::UpstreamLostState ? Waste::LostState : Waste::UpstreamBroken, m_tokens);
    m_context.explanation->step(
        "try_failed", { { "reason", Common::name(error.kind) }, { "message", error.message }, { "tokens", m_tokens } });
    auto outcome = SlotOutcome::Broken;
    if (error.kind == ErrorKind::UpstreamConnect)
        outcome = SlotOutcome::ConnectFailed;
    if (error.kind == ErrorKind::UpstreamRefused)
        outcome = SlotOutcome::RefusedByUpstream;
    if (error.kind == ErrorKind::UpstreamLostState)
        outcome = SlotOutcome::Cancelled; // Only the paused state is lost; the engine itself is healthy.
    Error known = error;
    // A generation that was paused has run before.
    if (m_paused && known.ran == Ran::No)
        known.ran = Ran::Maybe;
    m_paused = false;
    m_text.clear();
    auto tokens = std::exchange(m_tokens, 0);
    return { outcome, known, tokens, {} };
}

void Generation::finishResponse()
{
    if (m_streaming) {
        if (!m_hasFirstToken)
            m_context.exchange.beginStream(responseHead("text/event-stream"));
        m_context.exchange.write("data: [DONE]\n\n");
        m_context.exchange.endStream();
        return;
    }
    auto request = Common::parseJson(m_body);
    Json answer = { { "id", m_context.requestId }, { "object", "chat.completion" },
        { "model", Common::member<std::string>(request, "model", "") },
        { "choices",
            { { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", m_text } } },
                { "finish_reason", m_finishReason } } } },
        { "usage", { { "completion_tokens", m_tokens } } } };
    auto response = responseHead("application/json");
    response.body = Common::dumpJson(answer);
    m_context.exchange.respond(response);
}

void Generation::finishWithError(const Error& error)
{
    if (error.kind == ErrorKind::CallerGone)
        return m_context.exchange.closeAfterResponse();
    if (m_context.relayed) {
        // The response has begun, so the stream ends with an error event and without the end marker.
        m_context.exchange.write("event: error\ndata: " + Common::dumpJson(Common::errorJson(error)) + "\n\n");
        m_context.exchange.endStream();
        return;
    }
    auto response = Common::errorResponse(error);
    response.headers.push_back({ std::string(requestIdHeader), m_context.requestId });
    m_context.exchange.respond(response);
}

} // namespace Brassladder::ClassServing::Frontend
