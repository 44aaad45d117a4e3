// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Endpoint.h"
#include "Common/FiberRuntime.h"
#include "Common/HttpExchange.h"
#include "Common/Listener.h"

#include <atomic>
#include <mutex>
#include <set>

namespace Brassladder::Common {

using HttpHandler = std::function<void(HttpExchange&)>;

// HTTP/1.1 server on one port. Runs the handler in one fiber for each connection, on all threads of the runtime.
class HttpServer {
public:
    class Builder;

    // The port in use, which the kernel chooses if the builder was given port 0.
    uint16_t port() const { return m_port; }
    // Stops accepting connections; open connections close after their next response.
    void stopAccepting();
    // Closes the connections that are idle now. Does not close connections that become idle later.
    void closeIdle();

private:
    HttpServer(FiberRuntime&, std::function<HttpLimits()>, HttpHandler);
    void serve(boost::asio::ip::tcp::socket);
    // Whether the connection is kept open for another request.
    enum class Next { Request, Close };
    IoResult awaitFirstByte(HttpExchange::Socket&, boost::beast::flat_buffer&);
    // Returns false if the connection ended or the idle timeout passed before the first byte of a request.
    bool awaitRequest(HttpExchange::Socket&, boost::beast::flat_buffer&);
    Next serveOne(HttpExchange::Socket&, boost::beast::flat_buffer&);
    void sendError(HttpExchange::Socket&, ErrorKind, std::string_view message);

    std::function<HttpLimits()> m_limits;
    HttpHandler m_handler;
    Listener m_listener;
    uint16_t m_port { 0 };
    std::atomic<size_t> m_connections { 0 };
    std::mutex m_idleMutex;
    std::set<HttpExchange::Socket*> m_idle; // Connections that wait for the first byte of a request.
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
    // Limits that may change at run time. The hook is called for each request, on any thread of the runtime.
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
    // Returns PlatformUnavailable if the port cannot be bound. The server is never destroyed.
    Result<HttpServer*> build();

private:
    FiberRuntime& m_runtime;
    Endpoint m_endpoint { "127.0.0.1", 0 };
    std::function<HttpLimits()> m_limits { [] { return HttpLimits {}; } };
    HttpHandler m_handler;
};

} // namespace Brassladder::Common
