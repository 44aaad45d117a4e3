// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Common/FiberIo.h"
#include "Common/FiberRuntime.h"
#include "Common/HopByHop.h"
#include "Common/Json.h"
#include "Common/Listener.h"

#include <atomic>
#include <mutex>
#include <set>

namespace Brassladder::Common {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpStatus = boost::beast::http::status;

// Limits that keep one caller from hurting its neighbours.
struct HttpLimits {
    size_t headerBytes { 16 * 1024 };
    size_t bodyBytes { 1024 * 1024 };
    size_t connections { 20000 };
    Milliseconds idle { 60'000 }; // Between requests on a kept connection.
    Milliseconds receive { 10'000 }; // For one whole request once its first byte is there.
    Milliseconds send { 10'000 }; // For one write to the caller.
};

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpResponse {
    unsigned status { 200 };
    std::string body;
    std::string contentType { "application/json" }; // Empty: no such header but one among `headers`.
    std::vector<HttpHeader> headers;
};

// One request on a connection and the means to answer it. Belongs to its fiber.
class HttpExchange {
public:
    using Socket = boost::beast::tcp_stream;

    HttpExchange(Socket&, const HttpRequest&, const HttpLimits&);
    ~HttpExchange();

    const HttpRequest& request() const { return m_request; }
    std::string_view target() const { return { m_request.target().data(), m_request.target().size() }; }
    std::string_view path() const { return target().substr(0, target().find('?')); }
    // The value of a query parameter, or empty. Values are not percent-decoded.
    std::string_view query(std::string_view name) const;
    std::string_view header(std::string_view name) const;

    // Answers at once. Returns false when the caller is gone.
    bool respond(const HttpResponse&);
    // Answers piece by piece in chunked coding: begin, any number of writes, end. A stream that is not ended closes
    // the connection without the last chunk, so that a caller can tell it from a whole answer. The head travels with
    // the first piece.
    bool beginStream(const HttpResponse& head);
    bool write(std::string_view piece);
    bool endStream();

    // Calls the hook once, on this thread, when the caller closes its side while no write is under way.
    void watchCaller(std::function<void()> onGone);
    bool callerGone() const { return m_watch && m_watch->gone; }

    bool isAnswered() const { return m_answered; }
    bool mayKeepAlive() const { return m_keepAlive && !m_streaming; }
    void closeAfterAnswer() { m_keepAlive = false; }
    // Closes the connection without an answer, or without the end of one that has begun.
    void abandon()
    {
        m_answered = true;
        m_keepAlive = false;
    }

private:
    // Shared with the wait handler, which may outlive the exchange.
    struct Watch {
        std::function<void()> onGone;
        bool gone { false };
        bool closed { false };
    };

    void armWatch();
    bool writeAll(std::string);

    Socket& m_stream;
    const HttpRequest& m_request;
    const HttpLimits& m_limits;
    std::shared_ptr<Watch> m_watch;
    std::string m_unsentHead;
    bool m_answered { false };
    bool m_streaming { false };
    bool m_keepAlive { true };
};

using HttpHandler = std::function<void(HttpExchange&)>;

// Listens on one port and runs the handler in a fiber for each connection, over all threads of the runtime.
class HttpServer {
public:
    class Builder;

    // The port in use; the kernel chooses it when the builder was given port 0.
    uint16_t port() const { return m_port; }
    // Ends the acceptance of connections; those that are open go on, and close after their next answer.
    void stopAccepting();
    // Closes the connections on which no request has begun. Those that come to rest later are not touched.
    void closeIdle();

private:
    HttpServer(FiberRuntime&, std::function<HttpLimits()>, HttpHandler);
    void serve(boost::asio::ip::tcp::socket);
    enum class Next { Request, Close };
    IoResult awaitFirstByte(HttpExchange::Socket&, boost::beast::flat_buffer&);
    Next serveOne(HttpExchange::Socket&, boost::beast::flat_buffer&);
    void refuse(HttpExchange::Socket&, ErrorKind, std::string_view message);

    std::function<HttpLimits()> m_limits;
    HttpHandler m_handler;
    Listener m_listener;
    uint16_t m_port { 0 };
    std::atomic<size_t> m_connections { 0 };
    std::mutex m_idleMutex;
    std::set<HttpExchange::Socket*> m_idle; // Wait for the first byte of a request.
    std::atomic<bool> m_stopping { false };
};

class HttpServer::Builder {
public:
    explicit Builder(FiberRuntime& runtime)
        : m_runtime(runtime)
    {
    }
    Builder& endpoint(Endpoint endpoint)
    {
        m_endpoint = std::move(endpoint);
        return *this;
    }
    Builder& limits(HttpLimits fixed)
    {
        return limits([fixed] { return fixed; });
    }
    // Limits that may change while the server runs: asked for at each request, on any thread.
    Builder& limits(std::function<HttpLimits()> current)
    {
        m_limits = std::move(current);
        return *this;
    }
    Builder& handler(HttpHandler handler)
    {
        m_handler = std::move(handler);
        return *this;
    }
    // PlatformUnavailable when the port cannot be bound. The server lives until the process ends.
    Result<HttpServer*> build();

private:
    FiberRuntime& m_runtime;
    Endpoint m_endpoint { "127.0.0.1", 0 };
    std::function<HttpLimits()> m_limits { [] { return HttpLimits {}; } };
    HttpHandler m_handler;
};

HopByHopFields hopByHopFieldsOf(const HttpRequest&);

// The answer that callers get for an error: `{"error":{kind,message,ran,retry_after_ms}}` with the table's status.
HttpResponse errorResponse(const Error&);
Json errorJson(const Error&);
HttpResponse jsonResponse(const Json&, unsigned status = 200);

} // namespace Brassladder::Common
