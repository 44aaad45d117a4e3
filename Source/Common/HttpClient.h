// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Common/HttpServer.h"

namespace Brassladder::Common {

// Largest response that is held whole; streams are relayed as they come. Chosen, not measured: far above any plain
// response, and it bounds what one faulty upstream can make a process hold.
inline constexpr size_t maxBufferedResponseBytes = 16 * 1024 * 1024;

// For callers that set no timeouts of their own, such as the operators' tool. Chosen, not measured.
inline constexpr Milliseconds defaultConnectTimeout { 1000 };
inline constexpr Milliseconds defaultResponseTimeout { 10'000 };

struct HttpClientRequest {
    std::string method { "GET" };
    std::string target;
    std::string body;
    std::vector<HttpHeader> headers;
    Milliseconds connectTimeout { defaultConnectTimeout };
    // For the response head, and then for each piece of its body.
    Milliseconds responseTimeout { defaultResponseTimeout };
    std::optional<TimePoint> deadline; // When set, bounds the whole exchange in place of `responseTimeout`.
};

struct HttpClientResponse {
    unsigned status { 0 };
    std::string body;
    std::vector<HttpHeader> headers;

    std::string_view header(std::string_view name) const;
};

// How the other side, or the way to it, ended a connection.
enum class ConnectionEnd : uint8_t {
    None, // It stands, or was closed on this side.
    Refused, // Nobody listens at the address.
    Closed, // In the middle of a response, or in place of one.
    Reset,
    TimedOut,
    Unusable, // What came is no response to this request.
};
// The value of the log field and metrics label `ended`.
std::string_view name(ConnectionEnd);

// One HTTP/1.1 connection to an upstream or to the platform. Belongs to the fiber that uses it.
//
// An error says what is known about the request: `Ran::No` as long as not one byte was handed to the kernel, else
// `Ran::Maybe`. A reset on a connection after the first byte is never taken for a request that did not run.
class HttpConnection {
public:
    HttpConnection();

    Status connect(const Endpoint&, Milliseconds timeout);
    // Sends the request and reads the response head.
    Result<HttpClientResponse> start(const HttpClientRequest&);
    // Reads the next piece of the body; empty at the end. An end without the announced length is UpstreamBroken.
    Result<std::string_view> readBodyChunk();
    // The rest of the body.
    Result<std::string> readRemainingBody(size_t limit);

    // May be called by another fiber of the same thread: the operation in progress fails at once.
    void close();
    bool isReusable() const;
    // What the last error was due to.
    ConnectionEnd end() const { return m_end; }
    // How long the other side keeps an idle connection open, by its last response (`Keep-Alive`); none when it did not
    // say.
    std::optional<Milliseconds> keepAliveTime() const { return m_keepAliveTime; }
    // Whether an idle connection still looks open. The other side may close it right afterwards.
    bool looksOpen();

private:
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    std::optional<Parser> m_parser;
    std::vector<char> m_bodyChunk;
    void armTimeout();
    Error responseError(const boost::beast::error_code&);

    Milliseconds m_responseTimeout { 0 };
    std::optional<TimePoint> m_deadline;
    std::optional<Milliseconds> m_keepAliveTime;
    bool m_broken { false };
    ConnectionEnd m_end { ConnectionEnd::None };
};

HopByHopFields hopByHopFieldsOf(const HttpClientResponse&);

// Connects, sends, and reads the whole response: for short calls where a connection pool would not pay.
Result<HttpClientResponse> callOnce(
    const Endpoint&, const HttpClientRequest&, size_t bodyLimit = maxBufferedResponseBytes);

} // namespace Brassladder::Common
