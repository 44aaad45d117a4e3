// SPDX-License-Identifier: Apache-2.0
#include "Common/HttpExchange.h"

#include "Common/FiberRuntime.h"
#include "Common/PercentEncoding.h"

#include <algorithm>
#include <poll.h>
#include <sys/socket.h>

namespace Brassladder::Common {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

static constexpr unsigned httpVersion = 11; // HTTP/1.1, as Beast writes it.
// Chunk size of up to 16 hexadecimal digits, CRLF and a terminating zero.
static constexpr size_t maxChunkHeaderBytes = 20;

// Of one write to a caller that reads slowly. Each one counts as progress.
static constexpr size_t slowWriteBytes = size_t { 16 } * 1024;
// How often a response that is being received asks for memory again.
static constexpr Milliseconds reservePollInterval { 20 };
// How often to look whether a caller that has sent more bytes has disconnected.
static constexpr Milliseconds endPollInterval { 100 };

HttpExchange::HttpExchange(
    Socket& stream, const HttpRequest& request, const HttpLimits& limits, BudgetedConnection* share)
    : m_stream(stream)
    , m_request(request)
    , m_limits(limits)
    , m_share(share)
    , m_requestShare(share ? share->reservedBytes() : 0)
    , m_keepAlive(request.keep_alive())
{
}

HttpExchange::~HttpExchange()
{
    if (m_watch) {
        m_watch->closed = true;
        m_watch->onGone = nullptr;
        m_watch->timer.cancel();
        beast::error_code ignored;
        m_stream.socket().cancel(ignored);
    }
    if (m_streaming && endsWithConnection()) {
        beast::error_code ignored;
        m_stream.socket().close(ignored);
    }
}

// With a linger time of zero, the connection is reset when the socket is closed, also by the end of this process.
void HttpExchange::setResetOnClose(bool resets)
{
    beast::error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger(resets, 0), ignored);
}

// Calls the hook with the name and the encoded value of each query parameter, until it returns false.
static void forEachParameter(
    std::string_view target, const std::function<bool(std::string_view name, std::string_view value)>& hook)
{
    target = target.substr(0, target.find('#'));
    auto start = target.find('?');
    while (start != std::string_view::npos) {
        target.remove_prefix(start + 1);
        auto pair = target.substr(0, target.find('&'));
        auto equals = pair.find('=');
        if (equals != std::string_view::npos && !hook(pair.substr(0, equals), pair.substr(equals + 1)))
            return;
        start = target.find('&');
    }
}

std::string HttpExchange::query(std::string_view name) const
{
    std::string found;
    forEachParameter(target(), [&](auto parameter, auto value) {
        if (parameter != name)
            return true;
        found = decodeQueryValue(value).value_or("");
        return false;
    });
    return found;
}

bool HttpExchange::isQueryValid() const
{
    bool isValid = true;
    forEachParameter(target(), [&](auto, auto value) { return isValid = decodeQueryValue(value).has_value(); });
    return isValid;
}

std::string_view HttpExchange::header(std::string_view name) const
{
    auto value = m_request[beast::string_view(name.data(), name.size())];
    return { value.data(), value.size() };
}

static http::response<http::empty_body> responseHead(const HttpResponse& response, bool keepAlive)
{
    http::response<http::empty_body> head { static_cast<http::status>(response.status), httpVersion };
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

// A response to HEAD consists of its head, whatever that states about the body (RFC 9110, 9.3.2).
static bool hasBody(const HttpRequest& request) { return request.method() != http::verb::head; }

// Sends what the kernel takes at once. Returns the number of bytes, or nullopt if the connection has ended.
static std::optional<size_t> sendNow(tcp::socket& socket, std::string_view head, std::string_view body)
{
    auto vectorOf = [](std::string_view text) { return iovec { const_cast<char*>(text.data()), text.size() }; };
    std::array parts { vectorOf(head), vectorOf(body) };
    msghdr message {};
    message.msg_iov = parts.data();
    message.msg_iovlen = parts.size();
    auto sent = sendmsg(socket.native_handle(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent >= 0)
        return static_cast<size_t>(sent);
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? std::optional<size_t>(0) : std::nullopt;
}

bool HttpExchange::writeAll(std::string_view bytes)
{
    auto head = std::exchange(m_unsentHead, {});
    if (head.empty() && bytes.empty())
        return true;
    auto sent = sendNow(m_stream.socket(), head, bytes);
    bool isWritten = sent == head.size() + bytes.size();
    if (sent && !isWritten) {
        auto ofHead = std::min(*sent, head.size());
        isWritten = writeRest(std::string_view(head).substr(ofHead), bytes.substr(*sent - ofHead));
    }
    if (!isWritten)
        m_keepAlive = false;
    return isWritten;
}

// The caller does not read as fast as this process writes, so others may need its share of the memory.
bool HttpExchange::writeRest(std::string_view head, std::string_view body)
{
    if (!m_share)
        return writePiece(head) && writePiece(body);
    auto stage = m_share->stage();
    if (!m_share->enter(ConnectionStage::Sending, m_share->reservedBytes()))
        return false;
    bool isWritten = true;
    for (auto rest : { head, body }) {
        while (isWritten && !rest.empty()) {
            auto piece = rest.substr(0, slowWriteBytes);
            isWritten = !m_share->isEvicted() && writePiece(piece);
            rest.remove_prefix(piece.size());
            m_share->recordProgress();
        }
    }
    return isWritten && m_share->enter(stage, m_share->reservedBytes());
}

bool HttpExchange::writePiece(std::string_view bytes)
{
    if (bytes.empty())
        return true;
    m_stream.expires_after(m_limits.sendTimeout);
    auto result = awaitIo([&](auto handler) {
        asio::async_write(m_stream, asio::buffer(bytes.data(), bytes.size()), std::move(handler));
    });
    m_stream.expires_never();
    return result.ok();
}

bool HttpExchange::reserveResponse(size_t bytes, TimePoint deadline)
{
    if (!m_share)
        return true;
    while (!m_share->reserve(m_requestShare + bytes)) {
        if (m_share->isEvicted() || callerGone() || now() >= deadline)
            return false;
        sleepFor(reservePollInterval);
    }
    return true;
}

bool HttpExchange::respond(const HttpResponse& response, BodyFraming framing)
{
    if (framing == BodyFraming::UntilClose) {
        beginStream(response, framing);
        return write(response.body) && endStream();
    }
    m_handled = true;
    auto head = responseHead(response, m_keepAlive);
    if (hasBody(m_request))
        head.content_length(response.body.size());
    m_unsentHead = headText(head);
    return writeAll(hasBody(m_request) ? std::string_view(response.body) : std::string_view());
}

bool HttpExchange::beginStream(const HttpResponse& response, BodyFraming framing)
{
    m_handled = true;
    m_streaming = true;
    m_framing = m_request.version() < httpVersion ? BodyFraming::UntilClose : framing;
    if (endsWithConnection()) {
        m_keepAlive = false;
        setResetOnClose(true);
    }
    auto head = responseHead(response, m_keepAlive);
    head.chunked(!endsWithConnection());
    m_unsentHead = headText(head);
    return true;
}

bool HttpExchange::write(std::string_view piece)
{
    if (piece.empty() || !hasBody(m_request))
        return true;
    if (endsWithConnection())
        return writeAll(piece);
    char size[maxChunkHeaderBytes];
    int length = std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    std::string chunk;
    chunk.reserve(length + piece.size() + 2);
    chunk.append(size, length).append(piece).append("\r\n");
    return writeAll(chunk);
}

bool HttpExchange::endStream()
{
    if (!endsWithConnection()) {
        m_streaming = false;
        return writeAll(hasBody(m_request) ? "0\r\n\r\n" : "");
    }
    m_streaming = !writeAll("");
    if (!m_streaming)
        setResetOnClose(false);
    return !m_streaming;
}

void HttpExchange::watchCaller(std::function<void()> onGone)
{
    bool alreadyArmed = m_watch != nullptr;
    if (!alreadyArmed)
        m_watch = std::make_shared<Watch>(m_stream.get_executor());
    m_watch->onGone = std::move(onGone);
    if (!alreadyArmed)
        armWatch();
}

void HttpExchange::armWatch()
{
    auto& socket = m_stream.socket();
    socket.async_wait(tcp::socket::wait_read, [watch = m_watch, &socket](beast::error_code error) {
        if (!error && !watch->closed)
            onReadable(watch, socket);
    });
}

void HttpExchange::onReadable(const std::shared_ptr<Watch>& watch, tcp::socket& socket)
{
    char peeked = 0;
    beast::error_code problem;
    socket.non_blocking(true, problem);
    size_t bytes = socket.receive(asio::buffer(&peeked, 1), tcp::socket::message_peek, problem);
    if (!bytes && problem != asio::error::would_block)
        return recordGone(*watch);
    // Received bytes belong to a pipelined request. The socket stays readable, so another wait would complete at once.
    pollForEnd(watch, socket);
}

void HttpExchange::pollForEnd(const std::shared_ptr<Watch>& watch, tcp::socket& socket)
{
    watch->timer.expires_after(endPollInterval);
    watch->timer.async_wait([watch, &socket](beast::error_code error) {
        if (error || watch->closed)
            return;
        pollfd state { socket.native_handle(), POLLRDHUP, 0 };
        if (::poll(&state, 1, 0) > 0)
            return recordGone(*watch);
        pollForEnd(watch, socket);
    });
}

void HttpExchange::recordGone(Watch& watch)
{
    watch.gone = true;
    if (watch.onGone)
        watch.onGone();
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
        // Retry-After is in whole seconds, rounded up so that no caller retries too early.
        auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retryAfter).count();
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
