// SPDX-License-Identifier: Apache-2.0
#include "Common/HttpServer.h"

namespace Brassladder::Common {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

static constexpr size_t initialReadBytes = 4096;

HttpExchange::HttpExchange(Socket& stream, const HttpRequest& request, const HttpLimits& limits)
    : m_stream(stream)
    , m_request(request)
    , m_limits(limits)
    , m_keepAlive(request.keep_alive())
{
}

HttpExchange::~HttpExchange()
{
    if (!m_watch)
        return;
    m_watch->closed = true;
    m_watch->onGone = nullptr;
    beast::error_code ignored;
    m_stream.socket().cancel(ignored);
}

std::string_view HttpExchange::query(std::string_view name) const
{
    auto text = target();
    auto start = text.find('?');
    while (start != std::string_view::npos) {
        text.remove_prefix(start + 1);
        auto pair = text.substr(0, text.find('&'));
        auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return pair.substr(equals + 1);
        start = text.find('&');
    }
    return {};
}

std::string_view HttpExchange::header(std::string_view name) const
{
    auto value = m_request[beast::string_view(name.data(), name.size())];
    return { value.data(), value.size() };
}

static http::response<http::empty_body> responseHead(const HttpResponse& response, bool keepAlive)
{
    http::response<http::empty_body> head { static_cast<http::status>(response.status), 11 };
    if (!response.contentType.empty())
        head.set(http::field::content_type, response.contentType);
    for (const auto& header : response.headers)
        head.insert(header.name, header.value);
    head.keep_alive(keepAlive);
    return head;
}

static std::string headText(http::response<http::empty_body>& head)
{
    std::string text;
    http::response_serializer<http::empty_body> serializer(head);
    serializer.split(true);
    beast::error_code error;
    serializer.next(error, [&](beast::error_code&, const auto& buffers) {
        text = beast::buffers_to_string(buffers);
        serializer.consume(beast::buffer_bytes(buffers));
    });
    return text;
}

bool HttpExchange::writeAll(std::string bytes)
{
    if (!m_unsentHead.empty()) {
        bytes.insert(0, m_unsentHead);
        m_unsentHead.clear();
    }
    m_stream.expires_after(m_limits.send);
    auto result = awaitIo([&](auto handler) { asio::async_write(m_stream, asio::buffer(bytes), std::move(handler)); });
    m_stream.expires_never();
    if (!result.ok())
        m_keepAlive = false;
    return result.ok();
}

bool HttpExchange::respond(const HttpResponse& response)
{
    m_answered = true;
    auto head = responseHead(response, m_keepAlive);
    head.content_length(response.body.size());
    return writeAll(headText(head) + response.body);
}

bool HttpExchange::beginStream(const HttpResponse& response)
{
    m_answered = true;
    m_streaming = true;
    auto head = responseHead(response, m_keepAlive);
    head.chunked(true);
    m_unsentHead = headText(head);
    return true;
}

bool HttpExchange::write(std::string_view piece)
{
    if (piece.empty())
        return true;
    // The largest chunk is a piece read from an upstream: 16 hexadecimal digits of size are more than enough.
    char size[20];
    int length = std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    std::string chunk;
    chunk.reserve(length + piece.size() + 2);
    chunk.append(size, length).append(piece).append("\r\n");
    return writeAll(chunk);
}

bool HttpExchange::endStream()
{
    m_streaming = false;
    return writeAll("0\r\n\r\n");
}

void HttpExchange::watchCaller(std::function<void()> onGone)
{
    bool alreadyArmed = m_watch != nullptr;
    if (!alreadyArmed)
        m_watch = std::make_shared<Watch>();
    m_watch->onGone = std::move(onGone);
    if (!alreadyArmed)
        armWatch();
}

void HttpExchange::armWatch()
{
    auto& socket = m_stream.socket();
    socket.async_wait(tcp::socket::wait_read, [watch = m_watch, &socket](beast::error_code error) {
        if (error || watch->closed)
            return;
        char peeked = 0;
        beast::error_code problem;
        socket.non_blocking(true, problem);
        size_t bytes = socket.receive(asio::buffer(&peeked, 1), tcp::socket::message_peek, problem);
        // Bytes that are there belong to a pipelined request: the caller lives, and the wait would only spin on them.
        if (bytes || problem == asio::error::would_block)
            return;
        watch->gone = true;
        if (watch->onGone)
            watch->onGone();
    });
}

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
    if (m_connections.fetch_add(1) >= m_limits().connections) {
        refuse(stream, ErrorKind::TooManyConnections, "too many connections");
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
        // On the connection's own thread, where it cannot end between the look and the call.
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
    auto first
        = awaitIo([&](auto handler) { stream.async_read_some(buffer.prepare(initialReadBytes), std::move(handler)); });
    std::lock_guard lock(m_idleMutex);
    m_idle.erase(&stream);
    return first;
}

HttpServer::Next HttpServer::serveOne(HttpExchange::Socket& stream, beast::flat_buffer& buffer)
{
    if (!buffer.size()) {
        stream.expires_after(m_limits().idle);
        auto first = awaitFirstByte(stream, buffer);
        if (!first.ok())
            return Next::Close;
        stream.expires_never();
        buffer.commit(first.bytes);
    }
    auto limits = m_limits();
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<uint32_t>(limits.headerBytes));
    parser.body_limit(limits.bodyBytes);
    // Not the stream's own timeout, which closes the socket: the slow caller is to be told.
    struct Wait {
        bool over { false };
        bool late { false };
    };
    auto wait = std::make_shared<Wait>();
    boost::asio::steady_timer timer(Common::FiberRuntime::here(), limits.receive);
    timer.async_wait([wait, &stream](beast::error_code error) {
        if (error || wait->over)
            return;
        wait->late = true;
        beast::error_code ignored;
        stream.socket().cancel(ignored);
    });
    auto read = awaitIo([&](auto handler) { http::async_read(stream, buffer, parser, std::move(handler)); });
    wait->over = true;
    timer.cancel();
    if (read.error == http::error::body_limit)
        return refuse(stream, ErrorKind::BodyTooLarge, "the body is larger than the limit"), Next::Close;
    if (read.error == http::error::header_limit)
        return refuse(stream, ErrorKind::HeadersTooLarge, "the headers are larger than the limit"), Next::Close;
    if (wait->late && !read.ok())
        return refuse(stream, ErrorKind::RequestTimeout, "the request took too long to arrive"), Next::Close;
    if (read.error == http::error::end_of_stream || read.error == http::error::partial_message)
        return Next::Close;
    if (read.error.category() == make_error_code(http::error::end_of_stream).category())
        return refuse(stream, ErrorKind::BadRequest, "not an HTTP/1.1 request: " + read.error.message()), Next::Close;
    if (!read.ok())
        return Next::Close;
    auto request = parser.release();
    HttpExchange exchange(stream, request, limits);
    if (m_stopping)
        exchange.closeAfterAnswer();
    m_handler(exchange);
    if (!exchange.isAnswered())
        exchange.respond(errorResponse(makeError(ErrorKind::Internal, "the request was not answered")));
    return exchange.mayKeepAlive() ? Next::Request : Next::Close;
}

void HttpServer::refuse(HttpExchange::Socket& stream, ErrorKind kind, std::string_view message)
{
    HttpRequest none;
    auto limits = m_limits();
    HttpExchange exchange(stream, none, limits);
    exchange.closeAfterAnswer();
    exchange.respond(errorResponse(makeError(kind, std::string(message))));
}

Json errorJson(const Error& error)
{
    Json body = { { "kind", name(error.kind) }, { "message", error.message }, { "ran", name(error.ran) } };
    if (error.retryAfter.count() > 0)
        body["retry_after_ms"] = error.retryAfter.count();
    return { { "error", std::move(body) } };
}

HttpResponse errorResponse(const Error& error)
{
    HttpResponse response { traits(error.kind).httpStatus, dumpJson(errorJson(error)), "application/json", {} };
    if (error.retryAfter.count() > 0) {
        // Retry-After has whole seconds: rounded up, so that nobody comes back too early.
        auto seconds = (error.retryAfter.count() + 999) / 1000;
        response.headers.push_back({ "Retry-After", std::to_string(seconds) });
    }
    return response;
}

HttpResponse jsonResponse(const Json& json, unsigned status)
{
    return { status, dumpJson(json), "application/json", {} };
}

HopByHopFields hopByHopFieldsOf(const HttpRequest& request)
{
    HopByHopFields fields;
    auto [first, last] = request.equal_range(http::field::connection);
    for (auto field = first; field != last; ++field)
        fields.addConnectionField({ field->value().data(), field->value().size() });
    return fields;
}

} // namespace Brassladder::Common
