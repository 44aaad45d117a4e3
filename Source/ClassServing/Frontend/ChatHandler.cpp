// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/ChatHandler.h"

#include "ClassServing/Frontend/RequestMetrics.h"
#include "Common/Digest.h"

namespace Brassladder::ClassServing::Frontend {

using Common::Error;
using Common::ErrorKind;
using Common::Json;
using Common::Ran;
using Common::Status;
using Scheduling::SlotOutcome;

// Prompts that share their first kilobyte share what engines cache of it.
static constexpr size_t prefixBytes = 1024;

namespace {

// One generation as the caller sees it, over all tries and pauses.
class Generation {
public:
    Generation(RequestContext& context, std::string body, bool streaming, const Upstream::UpstreamTimeouts& timeouts)
        : m_context(context)
        , m_body(std::move(body))
        , m_streaming(streaming)
        , m_timeouts(timeouts)
    {
    }

    AttemptResult tryOn(const Membership::Upstream&);
    void answerWhole();
    void responseError(const Error&);
    uint32_t tokens() const { return m_tokens; }

private:
    std::optional<Error> open(Upstream::EngineStream&);
    AttemptResult relay(Upstream::EngineStream&);
    bool take(const Upstream::Token&);
    AttemptResult failed(const Error&);
    Common::HttpResponse head(std::string contentType) const;

    RequestContext& m_context;
    std::string m_body;
    bool m_streaming;
    Upstream::UpstreamTimeouts m_timeouts;
    uint32_t m_tokens { 0 }; // Of the present generation, over its pauses.
    bool m_paused { false };
    bool m_answered { false };
    std::string m_text;
    std::string m_finishReason { "stop" };
    Common::TimePoint m_firstToken;
    Common::TimePoint m_lastToken;
};

} // namespace

Common::HttpResponse Generation::head(std::string contentType) const
{
    return { 200, {}, std::move(contentType),
        { { std::string(requestIdHeader), m_context.requestId }, { "Cache-Control", "no-cache" } } };
}

AttemptResult Generation::tryOn(const Membership::Upstream& upstream)
{
    auto stream = std::make_shared<Upstream::EngineStream>(upstream.endpoint, m_context.requestId);
    auto& io = Common::FiberRuntime::here();
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
        return failed(*error);
    m_paused = false;
    uint32_t before = m_tokens;
    m_firstToken = {};
    while (true) {
        auto event = stream.next();
        if (isError(event))
            return failed(errorOf(event));
        if (const auto* token = std::get_if<Upstream::Token>(&valueOf(event))) {
            if (take(*token))
                continue;
            stream.cancel();
            return failed(Common::makeError(ErrorKind::CallerGone, "the caller went away"));
        }
        uint32_t tokens = m_tokens - before;
        auto perToken = tokens > 1 ? (m_lastToken - m_firstToken) / (tokens - 1) : Common::Duration::zero();
        m_paused = std::holds_alternative<Upstream::Paused>(valueOf(event));
        if (m_paused)
            m_context.explanation->step("paused", { { "tokens", m_tokens } });
        return { m_paused ? SlotOutcome::Preempted : SlotOutcome::Completed, std::nullopt, tokens, perToken };
    }
}

// False when the caller no longer takes what it asked for.
bool Generation::take(const Upstream::Token& token)
{
    m_lastToken = Common::now();
    if (m_firstToken == Common::TimePoint {})
        m_firstToken = m_lastToken;
    ++m_tokens;
    if (!m_answered) {
        m_answered = true;
        RequestMetrics::answered(*m_context.requestClass, m_lastToken - m_context.arrived);
        m_context.explanation->step("first_token");
        if (m_streaming && !m_context.exchange.beginStream(head("text/event-stream")))
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

AttemptResult Generation::failed(const Error& error)
{
    const auto& name = m_context.policy().name;
    if (m_context.signal->isCancelled() || m_context.exchange.callerGone() || error.kind == ErrorKind::CallerGone) {
        m_context.signal->cancel();
        RequestMetrics::wasted(name, Waste::CallerGone, m_tokens);
        return { SlotOutcome::Cancelled, Common::makeError(ErrorKind::CallerGone, "the caller went away"), m_tokens,
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
        outcome = SlotOutcome::Cancelled; // The engine itself is well.
    Error known = error;
    // A generation that has been paused did run before.
    if (m_paused && known.ran == Ran::No)
        known.ran = Ran::Maybe;
    m_paused = false;
    m_text.clear();
    auto tokens = std::exchange(m_tokens, 0);
    return { outcome, known, tokens, {} };
}

void Generation::answerWhole()
{
    if (m_streaming) {
        if (!m_answered)
            m_context.exchange.beginStream(head("text/event-stream"));
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
    auto response = head("application/json");
    response.body = Common::dumpJson(answer);
    m_context.exchange.respond(response);
}

void Generation::responseError(const Error& error)
{
    if (error.kind == ErrorKind::CallerGone)
        return m_context.exchange.closeAfterAnswer();
    if (m_context.relayed) {
        // The answer has begun: it ends with an explicit error, and without the end marker.
        m_context.exchange.write("event: error\ndata: " + Common::dumpJson(Common::errorJson(error)) + "\n\n");
        m_context.exchange.endStream();
        return;
    }
    auto response = Common::errorResponse(error);
    response.headers.push_back({ std::string(requestIdHeader), m_context.requestId });
    m_context.exchange.respond(response);
}

static uint64_t prefixOf(const Json& messages)
{
    auto text = Common::dumpJson(messages.front());
    return Common::stableHash(std::string_view(text).substr(0, prefixBytes));
}

Status ChatHandler::handle(RequestContext& context)
{
    Json body = Common::parseJson(context.exchange.request().body());
    bool fits
        = body.is_object() && body.contains("messages") && body["messages"].is_array() && !body["messages"].empty();
    bool streaming = fits && Common::member<bool>(body, "stream", false);
    if (fits) {
        context.prefix = prefixOf(body["messages"]);
        body["stream"] = true;
    }
    Generation generation(context, fits ? Common::dumpJson(body) : std::string(), streaming, m_timeouts);
    Status status = Common::Done {};
    if (!fits)
        status = Common::makeError(
            ErrorKind::BadRequest, "the body is a JSON object with an array `messages` that is not empty");
    else
        status = m_loop.run(context, [&](const Membership::Upstream& upstream) { return generation.tryOn(upstream); });
    if (isError(status)) {
        generation.responseError(errorOf(status));
        return status;
    }
    RequestMetrics::completed(context.policy().name, generation.tokens());
    generation.answerWhole();
    return status;
}

} // namespace Brassladder::ClassServing::Frontend
