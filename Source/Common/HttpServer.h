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

// Listens on one port and runs the handler in a fiber for each connection, over all threads of the runtime.
class HttpServer {
public:
    class Builder;

    // The port in use; the kernel chooses it when the builder was given port 0.
    uint16_t port() const { return m_port; }
    // Accepts no more connections; open ones close after their next response.
    void stopAccepting();
    // Closes the connections on which no request has begun. Those that become idle later are not closed.
    void closeIdle();

private:
    HttpServer(FiberRuntime&, std::function<HttpLimits()>, HttpHandler);
    void serve(boost::asio::ip::tcp::socket);
    // Whether another request may follow on the connection.
    enum class Next { Request, Close };
    IoResult awaitFirstByte(HttpExchange::Socket&, boost::beast::flat_buffer&);
    // False when the connection ended, or was idle for too long, before the first byte of a request.
    bool awaitRequest(HttpExchange::Socket&, boost::beast::flat_buffer&);
    Next serveOne(HttpExchange::Socket&, boost::beast::flat_buffer&);
    void sendError(HttpExchange::Socket&, ErrorKind, std::string_view message);

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
    // Limits that may change while the server runs: the hook is called for each request, on any thread.
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

} // namespace Brassladder::Common
