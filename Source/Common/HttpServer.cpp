// SPDX-License-Identifier: Apache-2.0
#include "Common/HttpServer.h"

#include "Common/FiberIo.h"

namespace Brassladder::Common {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

// Maximum size of one read.
// Most requests without a body fit.
static constexpr size_t readBytes = 4096;

HttpServer::HttpServer(FiberRuntime& runtime, std::function<HttpLimits()> limits, HttpHandler handler)
    : m_limits(std::move(limits))
    , m_handler(std::move(handler))
    , m_listener(runtime, [this](tcp::socket socket) { serve(std::move(socket)); })
{
}

Result<HttpServer*> HttpServer::Builder::build()
{
    auto server = std::unique_ptr<HttpServer>(new HttpServer(m_runtime, m_limits, m_handler));
    auto port = server->m_listener.listen(m_endpoint);
    if (isError(port))
        return errorOf(port);
    server->m_port = valueOf(port);
    return server.release();
}

void HttpServer::stopAccepting()
{
    m_stopping = true;
    m_listener.stop();
}

void HttpServer::serve(tcp::socket socket)
{
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    HttpExchange::Socket stream(std::move(socket));
    if (m_connections.fetch_add(1) >= m_limits().maxConnections) {
        sendError(stream, ErrorKind::TooManyConnections, "too many connections");
        m_connections.fetch_sub(1);
        return;
    }
    beast::flat_buffer buffer;
    while (serveOne(stream, buffer) == Next::Request) {
        if (!buffer.size())
            buffer = beast::flat_buffer();
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    m_connections.fetch_sub(1);
}

void HttpServer::closeIdle()
{
    std::lock_guard lock(m_idleMutex);
    for (auto* stream : m_idle) {
        // Runs on the thread of the connection, so that the stream is not destroyed between the check and the call.
        asio::post(stream->get_executor(), [this, stream] {
            std::lock_guard lockThere(m_idleMutex);
            beast::error_code ignored;
            if (m_idle.contains(stream))
                stream->socket().cancel(ignored);
        });
    }
}

IoResult HttpServer::awaitFirstByte(HttpExchange::Socket& stream, beast::flat_buffer& buffer)
{
    {
        std::lock_guard lock(m_idleMutex);
        m_idle.insert(&stream);
    }
    auto first = awaitIo([&](auto handler) { stream.async_read_some(buffer.prepare(readBytes), std::move(handler)); });
    std::lock_guard lock(m_idleMutex);
    m_idle.erase(&stream);
    return first;
}

bool HttpServer::awaitRequest(HttpExchange::Socket& stream, beast::flat_buffer& buffer)
{
    if (buffer.size())
        return true;
    stream.expires_after(m_limits().idleTimeout);
    auto first = awaitFirstByte(stream, buffer);
    if (!first.ok())
        return false;
    stream.expires_never();
    buffer.commit(first.bytes);
    return true;
}

namespace {

using RequestParser = http::request_parser<http::string_body>;

struct ReadResult {
    beast::error_code error; // Not set: the request is complete.
    bool hasTimedOut { false }; // The receive timeout passed.
};

// The error response to a request that could not be read.
struct ReadFailure {
    ErrorKind kind;
    std::string message;
};

// Limits the time to receive one request. It cancels the pending read instead of using the timeout of the stream, which
// closes the socket: a slow caller still gets a response. Between two reads there is nothing to cancel, so `isExpired`
// is checked before each read.
class ReceiveTimer {
public:
    ReceiveTimer(HttpExchange::Socket& stream, Milliseconds limit)
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
    ~ReceiveTimer() { m_state->isDisarmed = true; }
    ReceiveTimer(const ReceiveTimer&) = delete;
    ReceiveTimer& operator=(const ReceiveTimer&) = delete;

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

} // namespace

// Parses the bytes in the buffer. An incomplete request is not an error.
static beast::error_code parseArrived(beast::flat_buffer& buffer, RequestParser& parser)
{
    beast::error_code error;
    buffer.consume(parser.put(buffer.data(), error));
    return error == http::error::need_more ? beast::error_code() : error;
}

// Reads the request whose first bytes are in the buffer.
static ReadResult readRequest(
    Milliseconds limit, HttpExchange::Socket& stream, beast::flat_buffer& buffer, RequestParser& parser)
{
    std::optional<ReceiveTimer> timer; // Not needed for requests that arrive in one read.
    parser.eager(true);
    while (true) {
        if (auto error = parseArrived(buffer, parser))
            return { error };
        if (parser.is_done())
            return {};
        if (!timer)
            timer.emplace(stream, limit);
        if (timer->isExpired())
            return { asio::error::operation_aborted, true };
        auto read
            = awaitIo([&](auto handler) { stream.async_read_some(buffer.prepare(readBytes), std::move(handler)); });
        if (!read.ok())
            return { read.error, timer->isExpired() };
        buffer.commit(read.bytes);
    }
}

static std::optional<ReadFailure> readFailureFor(const ReadResult& read)
{
    const auto& error = read.error;
    if (error == http::error::body_limit)
        return ReadFailure { ErrorKind::BodyTooLarge, "the request body exceeds the size limit" };
    if (error == http::error::header_limit)
        return ReadFailure { ErrorKind::HeadersTooLarge, "the request headers exceed the size limit" };
    if (read.hasTimedOut)
        return ReadFailure { ErrorKind::RequestTimeout, "the request was not received before the timeout" };
    if (error.category() == make_error_code(http::error::bad_method).category())
        return ReadFailure { ErrorKind::BadRequest, "invalid HTTP/1.1 request: " + error.message() };
    return std::nullopt;
}

HttpServer::Next HttpServer::serveOne(HttpExchange::Socket& stream, beast::flat_buffer& buffer)
{
    if (!awaitRequest(stream, buffer))
        return Next::Close;
    auto limits = m_limits();
    RequestParser parser;
    parser.header_limit(static_cast<uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    auto read = readRequest(limits.receiveTimeout, stream, buffer, parser);
    if (read.error) {
        if (auto failure = readFailureFor(read))
            sendError(stream, failure->kind, failure->message);
        return Next::Close;
    }
    auto request = parser.release();
    HttpExchange exchange(stream, request, limits);
    if (m_stopping)
        exchange.closeAfterResponse();
    m_handler(exchange);
    if (!exchange.isHandled())
        exchange.respond(errorResponse(makeError(ErrorKind::Internal, "the request handler sent no response")));
    return exchange.mayKeepAlive() ? Next::Request : Next::Close;
}

void HttpServer::sendError(HttpExchange::Socket& stream, ErrorKind kind, std::string_view message)
{
    HttpRequest none;
    auto limits = m_limits();
    HttpExchange exchange(stream, none, limits);
    exchange.closeAfterResponse();
    exchange.respond(errorResponse(makeError(kind, std::string(message))));
}

} // namespace Brassladder::Common
