// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Upstream/EngineStream.h"

#include "Common/Log.h"

#include "Common/HttpConnectionPool.h"
#include "Common/Json.h"
#include "Common/TargetBuilder.h"

namespace Brassladder::ClassServing::Upstream {

using Common::ErrorKind;
using Common::HttpClientRequest;
using Common::Status;

// Events of the engine protocol (docs/INTERFACE.md, "Model engines").
static constexpr std::string_view endMarker = "[DONE]";
static constexpr std::string_view pausedEvent = "paused";
static constexpr std::string_view errorEvent = "error";
// Status of a resume if the engine no longer holds the paused generation.
static constexpr unsigned statusGone = 410;
static constexpr Common::Milliseconds pauseTimeout { 2000 };
// Bounds the memory for an event that does not end.
static constexpr size_t maxEventBytes = 1024 * 1024;

EngineStream::EngineStream(Common::Endpoint engine, std::string requestId)
    : m_engine(std::move(engine))
    , m_requestId(std::move(requestId))
{
}

EngineStream::~EngineStream()
{
    if (m_connection && m_finished && m_mayRepeat)
        Common::HttpConnectionPool::forCurrentThread().release(m_engine, std::move(m_connection));
}

Common::Error statusError(const Common::HttpClientResponse& answer)
{
    auto message = "the upstream responded with status " + std::to_string(answer.status);
    if (answer.header(ranHeader) == "no")
        return Common::makeError(ErrorKind::UpstreamRefused, message);
    return Common::makeError(ErrorKind::UpstreamBroken, message);
}

Status EngineStream::start(
    std::string_view body, Scheduling::Tier tier, bool mayRepeat, const UpstreamTimeouts& timeouts)
{
    HttpClientRequest call;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.body = body;
    call.headers = { { "Content-Type", "application/json" }, { std::string(requestIdHeader), m_requestId },
        { std::string(priorityHeader), std::to_string(tier) } };
    return open(call, mayRepeat, timeouts);
}

Status EngineStream::resume(uint32_t fromToken, Scheduling::Tier tier, const UpstreamTimeouts& timeouts)
{
    HttpClientRequest call;
    call.method = "POST";
    call.target = Common::TargetBuilder("/v1/requests")
                      .segment(m_requestId)
                      .segment("resume")
                      .parameter("from", uint64_t { fromToken })
                      .build();
    call.headers = { { std::string(priorityHeader), std::to_string(tier) } };
    return open(call, true, timeouts);
}

Status EngineStream::open(const HttpClientRequest& call, bool mayRepeat, const UpstreamTimeouts& timeouts)
{
    m_mayRepeat = mayRepeat;
    if (mayRepeat) {
        auto taken = Common::HttpConnectionPool::forCurrentThread().acquire(m_engine, timeouts.connect);
        if (isError(taken))
            return errorOf(taken);
        m_connection = std::move(valueOf(taken));
    } else {
        // A pooled connection might be closed by the engine while the request is sent. It would then be unknown whether
        // the request ran, so a request that must not be repeated uses a new connection.
        m_connection = std::make_unique<Common::HttpConnection>();
        if (auto status = m_connection->connect(m_engine, timeouts.connect); isError(status))
            return status;
    }
    if (m_cancelled)
        return Common::makeError(ErrorKind::CallerGone, "the caller disconnected during the connect");
    HttpClientRequest callWithTimeout = call;
    callWithTimeout.responseTimeout = timeouts.response;
    auto answer = m_connection->start(callWithTimeout);
    if (isError(answer))
        return errorOf(answer);
    if (valueOf(answer).status == 200)
        return Common::Done {};
    if (valueOf(answer).status == statusGone)
        return Common::makeError(ErrorKind::UpstreamLostState, "the engine no longer holds the generation");
    return statusError(valueOf(answer));
}

Common::Result<EngineEvent> EngineStream::next()
{
    while (true) {
        if (auto event = m_parser.next()) {
            if (event->name == pausedEvent)
                return EngineEvent { Paused { Common::member<uint32_t>(Common::parseJson(event->data), "tokens", 0) } };
            if (event->name == errorEvent)
                return Common::makeError(ErrorKind::UpstreamBroken, "the engine aborted the generation");
            if (event->data == endMarker) {
                // The last chunk must be read before the connection can be reused.
                m_finished = !isError(m_connection->readBodyChunk()) && m_connection->isReusable();
                return EngineEvent { Finished {} };
            }
            return EngineEvent { Token { std::move(event->raw), std::move(event->data) } };
        }
        auto chunk = m_connection->readBodyChunk();
        if (isError(chunk))
            return errorOf(chunk);
        if (valueOf(chunk).empty() || m_parser.unfinishedBytes() > maxEventBytes)
            return Common::makeError(ErrorKind::UpstreamBroken, "the stream ended without its end marker");
        m_parser.feed(valueOf(chunk));
    }
}

void EngineStream::pause()
{
    Common::FiberRuntime::spawnOnCurrentThread([engine = m_engine, id = m_requestId] {
        HttpClientRequest call;
        call.method = "POST";
        call.target = Common::TargetBuilder("/v1/requests").segment(id).segment("pause").build();
        call.responseTimeout = pauseTimeout;
        // If the engine does not pause, the generation continues and frees its slot at its end.
        if (auto response = Common::callOnce(engine, call); isError(response))
            Common::log(Common::LogLevel::Warning, "upstream", "pause.failed",
                { { "request_id", id }, { "engine", engine.text() }, { "error", errorOf(response).message } });
    });
}

void EngineStream::cancel()
{
    m_cancelled = true;
    if (m_connection)
        m_connection->close();
}

} // namespace Brassladder::ClassServing::Upstream
