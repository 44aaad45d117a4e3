// SPDX-License-Identifier: Apache-2.0
#include "Common/HttpClient.h"

#include "Common/FiberIo.h"
#include "Common/HttpStatus.h"
#include "Common/Metrics.h"

#include <charconv>
#include <limits>

namespace Brassladder::Common {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

static constexpr unsigned httpVersion = 11; // HTTP/1.1, as Beast writes it.
// Servers send one or two, such as 100 and 103.
static constexpr int maxInterimResponses = 16;

std::string_view HttpClientResponse::header(std::string_view name) const
{
    for (const auto& header : headers) {
        if (beast::iequals({ header.name.data(), header.name.size() }, { name.data(), name.size() }))
            return header.value;
    }
    return {};
}

HopByHopFields hopByHopFieldsOf(const HttpClientResponse& response)
{
    HopByHopFields fields;
    for (const auto& header : response.headers) {
        if (beast::iequals({ header.name.data(), header.name.size() }, "Connection"))
            fields.addConnectionField(header.value);
    }
    return fields;
}

std::string_view name(ConnectionEnd end)
{
    switch (end) {
    case ConnectionEnd::None:
        return "none";
    case ConnectionEnd::Refused:
        return "refused";
    case ConnectionEnd::Closed:
        return "closed";
    case ConnectionEnd::Reset:
        return "reset";
    case ConnectionEnd::TimedOut:
        return "timed_out";
    case ConnectionEnd::Unusable:
        return "unusable";
    }
    return "none";
}

static ConnectionEnd classifyConnectionEnd(const beast::error_code& error)
{
    if (error == asio::error::connection_refused)
        return ConnectionEnd::Refused;
    if (error == beast::error::timeout)
        return ConnectionEnd::TimedOut;
    if (error == asio::error::connection_reset || error == asio::error::broken_pipe)
        return ConnectionEnd::Reset;
    if (error == asio::error::eof || error == http::error::end_of_stream || error == http::error::partial_message)
        return ConnectionEnd::Closed;
    // Closed on this side, for example after the caller disconnected.
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
        return ConnectionEnd::None;
    return ConnectionEnd::Unusable;
}

HttpConnection::HttpConnection()
    : m_stream(FiberRuntime::currentContext())
{
}

Status HttpConnection::connect(const Endpoint& endpoint, Milliseconds timeout)
{
    beast::error_code error;
    auto address = asio::ip::make_address(endpoint.address, error);
    if (error)
        return makeError(ErrorKind::UpstreamConnect, "not an IP address: " + endpoint.address);
    m_stream.expires_after(timeout);
    auto result = awaitIo(
        [&](auto handler) { m_stream.async_connect(tcp::endpoint(address, endpoint.port), std::move(handler)); });
    if (!result.ok()) {
        m_end = classifyConnectionEnd(result.error);
        return makeError(
            ErrorKind::UpstreamConnect, "cannot connect to " + endpoint.text() + ": " + result.error.message());
    }
    m_stream.socket().set_option(tcp::no_delay(true), error);
    return Done {};
}

Status HttpConnection::connectThrough(const Endpoint& relay, const TunnelRequest& tunnel, Milliseconds timeout)
{
    auto deadline = now() + timeout;
    if (auto status = connect(relay, timeout); isError(status))
        return status;
    http::request<http::empty_body> request { http::verb::connect, tunnel.target.text(), httpVersion };
    request.set(http::field::host, tunnel.target.text());
    request.set(http::field::proxy_authorization, tunnel.authorization);
    for (const auto& header : tunnel.headers)
        request.set(header.name, header.value);
    m_stream.expires_at(deadline);
    auto sent = awaitIo([&](auto handler) { http::async_write(m_stream, request, std::move(handler)); });
    // A response to CONNECT has no body.
    auto status = sent.ok() ? readFinalHead(true) : Status(responseError(sent.error));
    if (!isError(status))
        m_relayStatus = m_parser->get().result_int();
    m_parser.reset();
    if (m_relayStatus == ok)
        return Done {};
    m_broken = true;
    if (!isError(status))
        m_end = ConnectionEnd::Refused;
    auto reason = isError(status) ? errorOf(status).message : "status " + std::to_string(m_relayStatus);
    return makeError(ErrorKind::UpstreamConnect,
        "cannot connect to " + tunnel.target.text() + " through " + relay.text() + ": " + reason);
}

void HttpConnection::armTimeout()
{
    if (m_deadline)
        m_stream.expires_at(*m_deadline);
    else
        m_stream.expires_after(m_responseTimeout);
}

// Parses `Keep-Alive: timeout=SECONDS`.
static std::optional<Milliseconds> keepAliveTimeOf(const http::fields& fields)
{
    static constexpr std::string_view key = "timeout=";
    auto value = fields["Keep-Alive"];
    std::string_view text(value.data(), value.size());
    auto start = text.find(key);
    if (start == std::string_view::npos)
        return std::nullopt;
    text.remove_prefix(start + key.size());
    unsigned seconds = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

Error HttpConnection::responseError(const beast::error_code& error)
{
    m_broken = true;
    m_end = classifyConnectionEnd(error);
    auto kind = error == beast::error::timeout ? ErrorKind::UpstreamTimeout : ErrorKind::UpstreamBroken;
    return makeError(kind, "no complete response from the upstream: " + error.message());
}

Error HttpConnection::responseError(HeadFault fault)
{
    m_broken = true;
    m_end = ConnectionEnd::Unusable;
    Metrics::counter("brassladder_unusable_responses_total", "Responses whose head states nothing that can be used",
        { { "reason", std::string(name(fault)) } })
        .Increment();
    return makeError(ErrorKind::UpstreamBroken, "unusable response from the upstream: " + std::string(name(fault)));
}

Status HttpConnection::readFinalHead(bool isBodyOmitted)
{
    for (int responses = 0; responses <= maxInterimResponses; ++responses) {
        m_parser.emplace();
        // Not boost::none, with which Beast 1.74 rejects every body as too large.
        m_parser->body_limit(std::numeric_limits<uint64_t>::max());
        m_parser->skip(isBodyOmitted);
        auto read = awaitIo(
            [&](auto handler) { http::async_read_header(m_stream, m_buffer, *m_parser, std::move(handler)); });
        if (!read.ok())
            return responseError(read.error);
        auto fault = faultOf(m_parser->get());
        if (fault != HeadFault::None)
            return responseError(fault);
        if (!isInterim(m_parser->get()))
            return Done {};
    }
    return responseError(HeadFault::InterimResponses);
}

static BodyFraming framingOf(const http::response_parser<http::buffer_body>& parser)
{
    if (parser.chunked())
        return BodyFraming::Chunked;
    return parser.need_eof() ? BodyFraming::UntilClose : BodyFraming::Length;
}

// Whether a request without a body states so (RFC 9110, 8.6).
static bool expectsBody(http::verb method)
{
    return method == http::verb::post || method == http::verb::put || method == http::verb::options;
}

Result<HttpClientResponse> HttpConnection::start(const HttpClientRequest& call)
{
    http::request<http::span_body<const char>> request;
    request.method_string(call.method);
    request.target(call.target);
    request.version(httpVersion);
    for (const auto& header : call.headers)
        request.insert(header.name, header.value);
    if (request.find(http::field::host) == request.end())
        request.set(http::field::host, "brassladder");
    std::string_view body = call.borrowedBody.empty() ? call.body : call.borrowedBody;
    request.body() = { body.data(), body.size() };
    if (!body.empty() || expectsBody(request.method()))
        request.content_length(body.size());

    m_responseTimeout = call.responseTimeout;
    m_deadline = call.deadline;
    armTimeout();
    auto sent = awaitIo([&](auto handler) { http::async_write(m_stream, request, std::move(handler)); });
    if (!sent.ok())
        return responseError(sent.error);
    if (auto status = readFinalHead(call.method == "HEAD"); isError(status))
        return errorOf(status);
    m_keepAliveTime = keepAliveTimeOf(m_parser->get());
    HttpClientResponse answer;
    answer.status = m_parser->get().result_int();
    answer.framing = framingOf(*m_parser);
    for (const auto& field : m_parser->get()) {
        auto name = field.name_string();
        answer.headers.push_back(
            { std::string(name.data(), name.size()), std::string(field.value().data(), field.value().size()) });
    }
    return answer;
}

Result<std::string_view> HttpConnection::readBodyChunk(size_t maxBytes)
{
    if (m_parser->is_done())
        return std::string_view {};
    m_bodyChunk.resize(maxBytes);
    // One read from the socket fills at most the capacity of the buffer.
    if (maxBytes > defaultChunkBytes)
        m_buffer.reserve(maxBytes);
    armTimeout();
    while (true) {
        auto& body = m_parser->get().body();
        body.data = m_bodyChunk.data();
        body.size = m_bodyChunk.size();
        auto read
            = awaitIo([&](auto handler) { http::async_read_some(m_stream, m_buffer, *m_parser, std::move(handler)); });
        if (!read.ok() && read.error != http::error::need_buffer)
            return responseError(read.error);
        size_t filled = m_bodyChunk.size() - body.size;
        if (filled || m_parser->is_done())
            return std::string_view(m_bodyChunk.data(), filled);
    }
}

Result<std::string> HttpConnection::readRemainingBody(size_t limit, const Reserve& reserve)
{
    std::string body;
    auto end = now() + m_responseTimeout * longestBodyFactor;
    auto giveUp = [&](const char* reason) {
        m_broken = true;
        return makeError(ErrorKind::UpstreamBroken, reason);
    };
    auto grow = [&](size_t bytes) {
        if (reserve && !reserve(bytes))
            return false;
        body.reserve(bytes);
        return true;
    };
    auto stated = m_parser->content_length_remaining();
    if (stated && *stated <= limit && !grow(*stated))
        return giveUp("there is no memory for the response body");
    while (true) {
        auto chunk = readBodyChunk();
        if (isError(chunk))
            return errorOf(chunk);
        if (valueOf(chunk).empty())
            return body;
        size_t size = body.size() + valueOf(chunk).size();
        if (size > limit)
            return giveUp("the response body exceeds the size limit");
        if (size > body.capacity() && !grow(2 * size))
            return giveUp("there is no memory for the response body");
        body += valueOf(chunk);
        if (!m_deadline && now() >= end)
            return responseError(beast::error::timeout);
    }
}

void HttpConnection::close()
{
    m_broken = true;
    beast::error_code ignored;
    m_stream.socket().close(ignored);
}

bool HttpConnection::isReusable() const
{
    return !m_broken && m_parser && m_parser->is_done() && m_parser->keep_alive();
}

bool HttpConnection::looksOpen()
{
    if (m_broken || m_buffer.size())
        return false;
    char peeked = 0;
    beast::error_code error;
    m_stream.socket().non_blocking(true, error);
    m_stream.socket().receive(asio::buffer(&peeked, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

Result<HttpClientResponse> callOnce(const Endpoint& endpoint, const HttpClientRequest& call, size_t bodyLimit)
{
    HttpConnection connection;
    if (auto status = connection.connect(endpoint, call.connectTimeout); isError(status))
        return errorOf(status);
    auto answer = connection.start(call);
    if (isError(answer))
        return answer;
    auto body = connection.readRemainingBody(bodyLimit);
    if (isError(body))
        return errorOf(body);
    valueOf(answer).body = std::move(valueOf(body));
    return answer;
}

} // namespace Brassladder::Common
