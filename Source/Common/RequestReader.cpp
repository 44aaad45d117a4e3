// SPDX-License-Identifier: Apache-2.0
#include "Common/RequestReader.h"

#include "Common/FiberIo.h"
#include "Common/FiberRuntime.h"
#include "Common/HttpServer.h"
#include "Common/MessageHead.h"

#include <algorithm>

namespace Brassladder::Common {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// Bodies up to this size are read whatever the head says, so that the connection can be kept after a refusal.
static constexpr size_t smallBodyBytes = size_t { 16 } * 1024;
// Memory is reserved for a body in steps of this size, before it is received.
static constexpr size_t bodyStepBytes = size_t { 64 } * 1024;
// Of one field as it is stored, besides its text.
static constexpr size_t fieldBytes = 64;
// A chunked body grows by doubling, and is copied while it grows.
static constexpr size_t growthFactor = 3;
// Of a chunk's size and its extensions, and of the fields after the last chunk.
static constexpr size_t maxChunkHeadBytes = size_t { 2 } * 1024;
static constexpr const char* tooManyFieldsMessage = "the request has too many header fields";
static constexpr const char* fieldTooLargeMessage = "a header field of the request exceeds the size limit";
static constexpr const char* instanceFullMessage = "the instance has no memory for the request";
static constexpr const char* timeoutMessage = "the request was not received before the timeout";

// Limits the time to receive one request. It cancels the pending read instead of using the timeout of the stream, which
// closes the socket: a slow caller still gets a response. Between two reads there is nothing to cancel, so `isExpired`
// is checked before each read.
class RequestReader::Timer {
public:
    Timer(Socket& stream, Milliseconds limit)
        : m_timer(FiberRuntime::currentContext(), limit)
    {
        m_timer.async_wait([state = m_state, &stream](beast::error_code error) {
            if (error || state->isDisarmed)
                return;
            state->isExpired = true;
            beast::error_code ignored;
            stream.socket().cancel(ignored);
        });
    }
    ~Timer() { m_state->isDisarmed = true; }
    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

    bool isExpired() const { return m_state->isExpired; }

private:
    // Shared with the handler, which may run after the timer is destroyed.
    struct State {
        bool isDisarmed { false };
        bool isExpired { false };
    };

    asio::steady_timer m_timer;
    std::shared_ptr<State> m_state { std::make_shared<State>() };
};

RequestReader::RequestReader(
    Socket& stream, beast::flat_buffer& buffer, BudgetedConnection& connection, const HttpLimits& limits)
    : m_stream(stream)
    , m_buffer(buffer)
    , m_connection(connection)
    , m_limits(limits)
{
    m_parser.header_limit(static_cast<uint32_t>(limits.headerBytes));
    m_parser.body_limit(limits.bodyBytes);
    m_parser.eager(true);
}

RequestReader::Outcome RequestReader::fail(ErrorKind kind, std::string message)
{
    m_failure = makeError(kind, std::move(message));
    return Outcome::Failed;
}

RequestReader::Outcome RequestReader::endOf(const beast::error_code& error)
{
    if (error == http::error::body_limit)
        return fail(ErrorKind::BodyTooLarge, "the request body exceeds the size limit");
    if (error == http::error::header_limit)
        return fail(ErrorKind::HeadersTooLarge, "the request headers exceed the size limit");
    if (error.category() == make_error_code(http::error::bad_method).category())
        return fail(ErrorKind::BadRequest, "invalid HTTP/1.1 request: " + error.message());
    return Outcome::Ended;
}

RequestReader::Outcome RequestReader::read(const WantsBody& wantsBody)
{
    std::optional<Timer> timer; // Not needed for requests that arrive in one read.
    while (true) {
        if (auto outcome = parse(wantsBody))
            return *outcome;
        if (!reserveNextRead())
            return fail(ErrorKind::InstanceFull, instanceFullMessage);
        if (!timer)
            timer.emplace(m_stream, m_limits.receiveTimeout);
        if (auto outcome = receive(*timer))
            return *outcome;
    }
}

std::optional<RequestReader::Outcome> RequestReader::parse(const WantsBody& wantsBody)
{
    if (!m_parser.is_header_done() && hasTooManyFields())
        return fail(ErrorKind::HeadersTooLarge, tooManyFieldsMessage);
    beast::error_code error;
    if (!putBytes(error))
        return fail(ErrorKind::HeadersTooLarge, fieldTooLargeMessage);
    if (error && error != http::error::need_more)
        return endOf(error);
    if (const auto* problem = invalidHead())
        return fail(ErrorKind::BadRequest, problem);
    if (m_parser.is_done())
        return hasTooManyTrailers() ? fail(ErrorKind::HeadersTooLarge, tooManyFieldsMessage) : Outcome::Complete;
    if (isBodyUnwanted(wantsBody))
        return Outcome::Unwanted;
    if (m_parser.is_header_done() && m_buffer.size() > maxChunkHeadBytes)
        return fail(ErrorKind::HeadersTooLarge, "the head of a chunk or the trailer exceeds the size limit");
    return std::nullopt;
}

// The parser throws for a field of 64 KB, which the limit of the whole head may allow.
bool RequestReader::putBytes(beast::error_code& error)
try {
    m_buffer.consume(m_parser.put(m_buffer.data(), error));
    return true;
} catch (const std::length_error&) {
    return false;
}

const char* RequestReader::invalidHead() const
{
    if (!m_parser.is_header_done())
        return nullptr;
    const auto& head = m_parser.get();
    // The end of the request would not be known (RFC 9112, 6.3).
    if (!hasKnownTransferCoding(head, head.version()))
        return "the transfer coding of the request is not chunked alone";
    // RFC 9110, 9.3.8.
    if (head.method() == http::verb::trace && (m_parser.chunked() || m_parser.content_length().value_or(0)))
        return "a TRACE request has a body";
    return nullptr;
}

// The parser allocates each field by itself, so they are counted before it sees them.
bool RequestReader::hasTooManyFields()
{
    auto data = m_buffer.data();
    std::string_view text(static_cast<const char*>(data.data()), data.size());
    auto end = std::min(text.find("\r\n\r\n", m_scannedBytes - std::min<size_t>(m_scannedBytes, 3)), text.size());
    if (end > m_scannedBytes) {
        auto unscanned = text.substr(m_scannedBytes, end - m_scannedBytes);
        m_lines += static_cast<size_t>(std::count(unscanned.begin(), unscanned.end(), '\n'));
        m_scannedBytes = end;
    }
    return m_lines > m_limits.headerFields;
}

// The parser adds the fields after a chunked body to those of the head.
bool RequestReader::hasTooManyTrailers() const
{
    const auto& fields = m_parser.get();
    return m_parser.chunked()
        && static_cast<size_t>(std::distance(fields.begin(), fields.end())) > m_limits.headerFields;
}

bool RequestReader::isBodyUnwanted(const WantsBody& wantsBody)
{
    if (m_isBodyChecked || !wantsBody || !m_parser.is_header_done())
        return false;
    auto length = m_parser.content_length();
    if ((length ? *length : m_parser.get().body().size()) <= smallBodyBytes)
        return false;
    m_isBodyChecked = true;
    return !wantsBody(m_parser.get());
}

// A body of stated length is allocated at once, but occupies memory only as far as it was received.
size_t RequestReader::bodyBytes() const
{
    const auto& body = m_parser.get().body();
    auto length = m_parser.content_length();
    if (length)
        return std::min<size_t>(*length, body.size());
    return body.capacity();
}

size_t RequestReader::heldBytes() const
{
    // One read buffer and a head that fits into it are a part of what each connection holds.
    auto beyondFirstRead = [](size_t bytes) { return bytes > HttpServer::readBytes ? bytes : 0; };
    auto head = beyondFirstRead(m_scannedBytes + m_lines * fieldBytes);
    return ConnectionBudget::connectionBytes + beyondFirstRead(m_buffer.capacity()) + head + bodyBytes();
}

bool RequestReader::reserveNextRead()
{
    if (!m_parser.is_header_done())
        return reserve(ConnectionStage::Head, heldBytes());
    auto body = bodyBytes();
    auto next = (body / bodyStepBytes + 1) * bodyStepBytes;
    if (auto length = m_parser.content_length())
        next = std::min<size_t>(next, *length);
    else
        next = std::max(next, growthFactor * body);
    return reserve(ConnectionStage::Body, heldBytes() - body + next);
}

bool RequestReader::reserve(ConnectionStage stage, size_t bytes)
{
    if (stage == m_connection.stage() && bytes == m_connection.reservedBytes())
        return !m_connection.isEvicted();
    return m_connection.enter(stage, bytes);
}

std::optional<RequestReader::Outcome> RequestReader::receive(const Timer& timer)
{
    if (timer.isExpired())
        return fail(ErrorKind::RequestTimeout, timeoutMessage);
    auto received = awaitIo(
        [&](auto handler) { m_stream.async_read_some(m_buffer.prepare(HttpServer::readBytes), std::move(handler)); });
    m_buffer.commit(received.bytes);
    if (m_connection.isEvicted())
        return fail(ErrorKind::InstanceFull, instanceFullMessage);
    if (received.ok())
        return std::nullopt;
    if (timer.isExpired())
        return fail(ErrorKind::RequestTimeout, timeoutMessage);
    return endOf(received.error);
}

} // namespace Brassladder::Common
