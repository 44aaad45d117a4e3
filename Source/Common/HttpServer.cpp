// SPDX-License-Identifier: Apache-2.0
#include "Common/HttpServer.h"

#include "Common/FiberIo.h"
#include "Common/Metrics.h"

namespace Brassladder::Common {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

// How long and how much a server goes on reading after it has refused a request. A body within the limit is read to its
// end, so that a caller which sends it whole before it reads receives the response.
static constexpr Milliseconds discardTimeout { 1000 };
static constexpr size_t minDiscardedBytes = size_t { 256 } * 1024;
// For the response to a connection that is closed in favor of others.
static constexpr Milliseconds evictedSendTimeout { 100 };
// Buffers of the kernel for one connection, in each direction.
static constexpr int socketBufferBytes = 64 * 1024;

// One connection, in its fiber.
struct HttpServer::Connection {
    Connection(tcp::socket socket, ConnectionBudget& budget, ListenerKind kind)
        : stream(std::move(socket))
        , share(budget, kind, stream.get_executor(), [this] { interrupt(); })
    {
    }

    void interrupt()
    {
        beast::error_code ignored;
        stream.socket().cancel(ignored);
    }

    HttpExchange::Socket stream;
    beast::flat_buffer buffer;
    BudgetedConnection share;
};

HttpServer::HttpServer(const Builder& builder)
    : m_limits(builder.m_limits)
    , m_handler(builder.m_handler)
    , m_wantsBody(builder.m_wantsBody)
    , m_bodyCopies(builder.m_bodyCopies)
    , m_budget(*builder.m_budget)
    , m_kind(builder.m_kind)
    , m_listener(builder.m_runtime, [this](tcp::socket socket) { serve(std::move(socket)); })
{
}

Result<HttpServer*> HttpServer::Builder::build()
{
    auto server = std::unique_ptr<HttpServer>(new HttpServer(*this));
    if (m_budget != &ConnectionBudget::unlimited())
        server->m_listener.setBufferBytes(socketBufferBytes);
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
    Connection connection(std::move(socket), m_budget, m_kind);
    auto next = Next::Request;
    if (!connection.share.isAdmitted())
        next = respondWithError(connection, makeError(ErrorKind::TooManyConnections, "too many connections"));
    while (next == Next::Request) {
        next = serveOne(connection);
        if (!connection.buffer.size())
            connection.buffer = beast::flat_buffer();
    }
    connection.stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (next == Next::Discard)
        discardRest(connection);
}

// Closing a socket with unread bytes resets the connection, and the caller may lose the response.
void HttpServer::discardRest(Connection& connection)
{
    connection.buffer = beast::flat_buffer();
    if (!connection.share.enter(ConnectionStage::Closing, ConnectionBudget::connectionBytes))
        return;
    connection.stream.expires_after(discardTimeout);
    auto limit = std::max(minDiscardedBytes, 2 * m_limits().bodyBytes);
    size_t discarded = 0;
    while (discarded < limit && !connection.share.isEvicted()) {
        auto received = awaitIo([&](auto handler) {
            connection.stream.async_read_some(connection.buffer.prepare(readBytes), std::move(handler));
        });
        if (!received.ok())
            return;
        discarded += received.bytes;
    }
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

IoResult HttpServer::awaitFirstByte(Connection& connection)
{
    {
        std::lock_guard lock(m_idleMutex);
        m_idle.insert(&connection.stream);
    }
    auto first = awaitIo([&](auto handler) {
        connection.stream.async_read_some(connection.buffer.prepare(readBytes), std::move(handler));
    });
    std::lock_guard lock(m_idleMutex);
    m_idle.erase(&connection.stream);
    return first;
}

bool HttpServer::awaitRequest(Connection& connection)
{
    if (connection.buffer.size())
        return !connection.share.isEvicted();
    if (connection.share.isEvicted())
        return false;
    connection.stream.expires_after(m_limits().idleTimeout);
    auto first = awaitFirstByte(connection);
    if (!first.ok())
        return false;
    connection.stream.expires_never();
    connection.buffer.commit(first.bytes);
    return true;
}

HttpServer::Next HttpServer::serveOne(Connection& connection)
{
    if (!awaitRequest(connection))
        return Next::Close;
    auto limits = m_limits();
    RequestReader reader(connection.stream, connection.buffer, connection.share, limits);
    auto outcome = reader.read(m_wantsBody);
    if (outcome == RequestReader::Outcome::Ended)
        return Next::Close;
    if (outcome == RequestReader::Outcome::Failed)
        return respondWithError(connection, *reader.failure());
    bool isBodyMissing = outcome == RequestReader::Outcome::Unwanted;
    auto heldBytes = reader.heldBytes();
    auto request = reader.takeRequest();
    return respond(connection, request, heldBytes, isBodyMissing);
}

HttpServer::Next HttpServer::respond(
    Connection& connection, const HttpRequest& request, size_t heldBytes, bool isBodyMissing)
{
    auto handlerBytes = ConnectionBudget::servingBytes + m_bodyCopies * request.body().size();
    if (!connection.share.enter(ConnectionStage::Serving, heldBytes + handlerBytes))
        return respondWithError(
            connection, makeError(ErrorKind::InstanceFull, "the instance has no memory for the request"));
    auto limits = m_limits();
    HttpExchange exchange(connection.stream, request, limits, &connection.share);
    exchange.setBodyMissing(isBodyMissing);
    if (m_stopping || isBodyMissing)
        exchange.closeAfterResponse();
    m_handler(exchange);
    if (!exchange.isHandled())
        exchange.respond(errorResponse(makeError(ErrorKind::Internal, "the request handler sent no response")));
    if (isBodyMissing)
        return Next::Discard;
    if (!exchange.mayKeepAlive())
        return Next::Close;
    connection.share.enter(ConnectionStage::Idle, ConnectionBudget::connectionBytes);
    return Next::Request;
}

HttpServer::Next HttpServer::respondWithError(Connection& connection, const Error& error)
{
    Metrics::counter("brassladder_unread_requests_total",
        "Requests that were refused before they were read, by error kind",
        { { "kind", std::string(name(error.kind)) } })
        .Increment();
    HttpRequest none;
    auto limits = m_limits();
    bool isSpaceNeeded = !connection.share.isAdmitted() || connection.share.isEvicted();
    if (isSpaceNeeded)
        limits.sendTimeout = evictedSendTimeout;
    HttpExchange exchange(connection.stream, none, limits);
    exchange.closeAfterResponse();
    exchange.respond(errorResponse(error));
    return isSpaceNeeded ? Next::Close : Next::Discard;
}

} // namespace Brassladder::Common
