// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/BodyFraming.h"
#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Common/HttpServer.h"
#include "Common/MessageHead.h"

namespace Brassladder::Common {

// Limit for responses that are buffered in memory. Streamed responses are relayed without a limit.
// Far above any plain response; bounds what one faulty upstream can make a process hold.
inline constexpr size_t maxBufferedResponseBytes = 16 * 1024 * 1024;

// Defaults for callers that set no timeouts, such as brassladder-ctl.
inline constexpr Milliseconds defaultConnectTimeout { 1000 };
inline constexpr Milliseconds defaultResponseTimeout { 10'000 };

struct HttpClientRequest {
    std::string method { "GET" };
    std::string target;
    std::string body;
    std::vector<HttpHeader> headers;
    Milliseconds connectTimeout { defaultConnectTimeout };
    // Applies to sending the request and receiving the response head together, and then to each chunk of the body.
    Milliseconds responseTimeout { defaultResponseTimeout };
    std::optional<TimePoint> deadline; // If set, replaces `responseTimeout` until the body ends.
    // If not empty, sent in place of `body`. What it refers to must live until the response head was read.
    std::string_view borrowedBody {};
};

struct HttpClientResponse {
    unsigned status { 0 };
    std::string body;
    std::vector<HttpHeader> headers;
    BodyFraming framing { BodyFraming::Length };

    std::string_view header(std::string_view name) const;
};

// How the remote side or the network ended a connection.
enum class ConnectionEnd : uint8_t {
    None, // Still open, or closed on this side.
    Refused, // No process listens at the address.
    Closed, // Closed before the response was complete.
    Reset,
    TimedOut,
    Unusable, // Any other error, such as an invalid response or an unreachable host.
};
// Value of the log field and metrics label `ended`.
std::string_view name(ConnectionEnd);

// One HTTP/1.1 connection to an upstream or to the platform. Used by one fiber at a time.
//
// Errors of `connect` carry `Ran::No`. Errors of later operations carry `Ran::Maybe`, even if the connection was reset,
// since the upstream may have executed the request.
class HttpConnection {
public:
    HttpConnection();

    Status connect(const Endpoint&, Milliseconds timeout);
    // A request for a connection to `target` through another process, with CONNECT (RFC 9110, 9.3.6).
    struct TunnelRequest {
        Endpoint target;
        std::string authorization; // Value of Proxy-Authorization.
        std::vector<HttpHeader> headers;
    };
    // Connects to `relay` and lets it connect to the target. The timeout applies to both together. Afterwards, the
    // connection is used like one to the target.
    Status connectThrough(const Endpoint& relay, const TunnelRequest&, Milliseconds timeout);
    // Status with which the relay answered; 0 without an answer.
    unsigned relayStatus() const { return m_relayStatus; }
    // Sends the request and reads the head of the final response. Returns UpstreamBroken if the head states nothing
    // that can be used (Common/MessageHead.h).
    Result<HttpClientResponse> start(const HttpClientRequest&);
    // For relayed bodies. The event of one token has 100 to 300 bytes; a larger buffer costs memory for each stream.
    static constexpr size_t defaultChunkBytes = 4096;
    // For bodies of megabytes. Each chunk waits for its turn among the other fibers of the thread.
    static constexpr size_t largeChunkBytes = 48 * 1024;
    // Returns the next chunk of the body, of at most `maxBytes`, empty at its end. Returns UpstreamBroken if the
    // connection ends before the response is complete, and UpstreamTimeout after a timeout.
    Result<std::string_view> readBodyChunk(size_t maxBytes = defaultChunkBytes);
    // Reads the remaining body. Returns UpstreamBroken if it exceeds `limit` bytes, and UpstreamTimeout if it is not
    // complete after `longestBodyFactor` times the time-out for a chunk.
    Result<std::string> readRemainingBody(size_t limit) { return readRemainingBody(limit, {}); }
    // The same. Calls the hook before it allocates memory for a body of this many bytes in all; if it returns false,
    // returns UpstreamBroken.
    using Reserve = std::function<bool(size_t bytes)>;
    Result<std::string> readRemainingBody(size_t limit, const Reserve&);
    // A body that arrives in small parts would otherwise keep its reader for as long as it comes.
    static constexpr int longestBodyFactor = 10;

    // Returns the socket of a connection on which nothing was sent, and closes the connection.
    boost::asio::ip::tcp::socket releaseSocket() { return m_stream.release_socket(); }
    // Closes the connection. Another fiber of the same thread may call it: the pending operation then fails at once.
    void close();
    bool isReusable() const;
    // How the connection ended, according to the last error.
    ConnectionEnd end() const { return m_end; }
    // How long the remote side keeps an idle connection open, from the `Keep-Alive` field of its last response; nullopt
    // if the response had none.
    std::optional<Milliseconds> keepAliveTime() const { return m_keepAliveTime; }
    // Whether an idle connection appears to be open. The remote side may still close it right afterwards.
    bool looksOpen();

private:
    // Bytes that were received and not parsed yet: at most a response head, a chunk head, a trailer, or one read of the
    // body. Less than the 64 KB at which the parser throws for a header field.
    static constexpr size_t maxUnparsedBytes = 60 * 1024;
    static_assert(largeChunkBytes <= maxUnparsedBytes);

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer { maxUnparsedBytes };
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    std::optional<Parser> m_parser;
    std::vector<char> m_bodyChunk;
    void armTimeout();
    // Skips interim responses. Returns an error if no usable head arrives before the timeout.
    Status readFinalHead(bool isBodyOmitted);
    Error responseError(const boost::beast::error_code&);
    Error responseError(HeadFault);

    Milliseconds m_responseTimeout { 0 };
    std::optional<TimePoint> m_deadline;
    std::optional<Milliseconds> m_keepAliveTime;
    unsigned m_relayStatus { 0 };
    bool m_broken { false };
    ConnectionEnd m_end { ConnectionEnd::None };
};

HopByHopFields hopByHopFieldsOf(const HttpClientResponse&);

// Sends one request on a new connection and reads the whole response. For infrequent calls that need no connection
// pool.
Result<HttpClientResponse> callOnce(
    const Endpoint&, const HttpClientRequest&, size_t bodyLimit = maxBufferedResponseBytes);

} // namespace Brassladder::Common
