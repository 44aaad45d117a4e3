// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/BodyFraming.h"
#include "Common/Clock.h"
#include "Common/ConnectionBudget.h"
#include "Common/Error.h"
#include "Common/FiberIo.h"
#include "Common/HopByHop.h"
#include "Common/Json.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// Server side of an HTTP request.
namespace Brassladder::Common {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpStatus = boost::beast::http::status;

// Limits on requests. The defaults apply to servers without configuration (fakes).
struct HttpLimits {
    static constexpr size_t defaultHeaderFields = 256;
    static constexpr Milliseconds defaultIdleTimeout { 60'000 };
    static constexpr Milliseconds defaultTransferTimeout { 10'000 };

    size_t headerBytes { 16 * 1024 };
    size_t headerFields { defaultHeaderFields }; // Each costs memory beyond its text.
    size_t bodyBytes { 1024 * 1024 };
    Milliseconds idleTimeout { defaultIdleTimeout }; // Until the first byte of a request.
    Milliseconds receiveTimeout { defaultTransferTimeout }; // For one whole request after its first byte.
    Milliseconds sendTimeout { defaultTransferTimeout }; // For one write to the caller.
};

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpResponse {
    unsigned status { 200 };
    std::string body;
    std::string contentType { "application/json" }; // Empty: no Content-Type header, unless `headers` has one.
    std::vector<HttpHeader> headers;
};

// One request on a connection and the functions to respond to it. Owned by the fiber that handles it.
class HttpExchange {
public:
    using Socket = boost::beast::tcp_stream;

    // `share`: where the memory of the response is reserved; null if it is not limited.
    HttpExchange(Socket&, const HttpRequest&, const HttpLimits&, BudgetedConnection* share = nullptr);
    ~HttpExchange();

    const HttpRequest& request() const { return m_request; }
    std::string_view target() const { return { m_request.target().data(), m_request.target().size() }; }
    std::string_view path() const { return target().substr(0, target().find('?')); }
    // Returns the decoded value of a query parameter; empty if it is absent or cannot be decoded.
    std::string query(std::string_view name) const;
    // Whether the value of each query parameter can be decoded.
    bool isQueryValid() const;
    std::string_view header(std::string_view name) const;

    // Sends the whole response, with its length unless it is framed by the end of the connection. Returns false if the
    // caller has disconnected.
    bool respond(const HttpResponse&, BodyFraming = BodyFraming::Length);
    // Send a response in pieces: `beginStream`, any number of `write`, then `endStream`. The head is sent with the
    // first piece. The body is in chunked transfer coding, or ends with the connection if so requested and for callers
    // of HTTP/1.0. A stream that is not ended is marked as incomplete: the last chunk is missing, or the connection is
    // reset.
    bool beginStream(const HttpResponse& head, BodyFraming = BodyFraming::Chunked);
    bool write(std::string_view piece);
    bool endStream();

    // Whether the request has a body that was not read. The handler must refuse such a request.
    bool isBodyMissing() const { return m_isBodyMissing; }
    void setBodyMissing(bool isMissing) { m_isBodyMissing = isMissing; }

    // Reserves memory for a response that is being received, in place of what was reserved for it before. Waits until
    // there is room. Returns false if there is none before the deadline.
    bool reserveResponse(size_t bytes, TimePoint deadline);

    // Calls the hook at most once, on this thread, when the caller disconnects.
    void watchCaller(std::function<void()> onGone);
    bool callerGone() const { return m_watch && m_watch->gone; }

    bool isHandled() const { return m_handled; }
    bool mayKeepAlive() const { return m_keepAlive && !m_streaming; }
    void closeAfterResponse() { m_keepAlive = false; }
    // Closes the connection without a response, or without the end of a response that has begun.
    void abandon()
    {
        m_handled = true;
        m_keepAlive = false;
    }

private:
    // Shared with the handler of the wait, which may outlive the exchange.
    struct Watch {
        explicit Watch(const Socket::executor_type& executor)
            : timer(executor)
        {
        }
        std::function<void()> onGone;
        boost::asio::steady_timer timer; // For callers that have sent more bytes.
        bool gone { false };
        bool closed { false };
    };

    bool endsWithConnection() const { return m_framing == BodyFraming::UntilClose; }
    void setResetOnClose(bool);
    void armWatch();
    static void onReadable(const std::shared_ptr<Watch>&, boost::asio::ip::tcp::socket&);
    static void pollForEnd(const std::shared_ptr<Watch>&, boost::asio::ip::tcp::socket&);
    static void recordGone(Watch&);
    // Sends the unsent head and the bytes.
    bool writeAll(std::string_view);
    bool writeRest(std::string_view head, std::string_view body);
    bool writePiece(std::string_view);

    Socket& m_stream;
    const HttpRequest& m_request;
    const HttpLimits& m_limits;
    BudgetedConnection* m_share;
    size_t m_requestShare; // What was reserved before the response.
    bool m_isBodyMissing { false };
    std::shared_ptr<Watch> m_watch;
    std::string m_unsentHead;
    bool m_handled { false };
    bool m_streaming { false };
    BodyFraming m_framing { BodyFraming::Length };
    bool m_keepAlive { true };
};

HopByHopFields hopByHopFieldsOf(const HttpRequest&);

// Response for an error: `{"error":{kind,message,ran,retry_after_ms}}` with the HTTP status of its kind.
// `retry_after_ms` is omitted if it is zero.
HttpResponse errorResponse(const Error&);
Json errorJson(const Error&);
HttpResponse jsonResponse(const Json&, unsigned status = 200);

} // namespace Brassladder::Common
