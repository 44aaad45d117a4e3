// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/ConnectionBudget.h"
#include "Common/Endpoint.h"
#include "Common/FiberRuntime.h"
#include "Common/HttpExchange.h"
#include "Common/Listener.h"
#include "Common/RequestReader.h"

#include <atomic>
#include <mutex>
#include <set>

namespace Brassladder::Common {

using HttpHandler = std::function<void(HttpExchange&)>;

// HTTP/1.1 server on one port. Runs the handler in one fiber for each connection, on all threads of the runtime. What
// the connections hold is counted in a budget, which servers share.
class HttpServer {
public:
    class Builder;

    // Maximum size of one read.
    // Most requests without a body fit.
    static constexpr size_t readBytes = 4096;

    // The port in use, which the kernel chooses if the builder was given port 0.
    uint16_t port() const { return m_port; }
    // Stops accepting connections; open connections close after their next response.
    void stopAccepting();
    // Closes the connections that are idle now. Does not close connections that become idle later.
    void closeIdle();

private:
    explicit HttpServer(const Builder&);
    void serve(boost::asio::ip::tcp::socket);
    // What happens to the connection after a request.
    enum class Next {
        Request,
        Close,
        Discard, // Closed after what the caller still sends was discarded, so that it can read the response.
    };
    struct Connection;
    Next serveOne(Connection&);
    IoResult awaitFirstByte(Connection&);
    // Returns false if the connection ended or the idle timeout passed before the first byte of a request.
    bool awaitRequest(Connection&);
    Next respond(Connection&, const HttpRequest&, size_t heldBytes, bool isBodyMissing);
    Next respondWithError(Connection&, const Error&);
    void discardRest(Connection&);

    std::function<HttpLimits()> m_limits;
    HttpHandler m_handler;
    RequestReader::WantsBody m_wantsBody;
    const size_t m_bodyCopies;
    ConnectionBudget& m_budget;
    ListenerKind m_kind;
    Listener m_listener;
    uint16_t m_port { 0 };
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
    // The budget that counts the connections; it must live until the process ends. Without one, they are not limited.
    Builder& budget(ConnectionBudget& budget, ListenerKind kind = ListenerKind::Callers)
    {
        m_budget = &budget;
        m_kind = kind;
        return *this;
    }
    // A hook that returns whether to read a large body, given the head of its request. If not, the handler gets the
    // request without its body (`HttpExchange::isBodyMissing`) and must refuse it.
    Builder& wantsBody(RequestReader::WantsBody hook)
    {
        m_wantsBody = std::move(hook);
        return *this;
    }
    // How many copies of a body the handler holds, besides the one that it is given.
    Builder& bodyCopies(size_t copies)
    {
        m_bodyCopies = copies;
        return *this;
    }
    // Returns PlatformUnavailable if the port cannot be bound. The server is never destroyed.
    Result<HttpServer*> build();

private:
    friend class HttpServer;

    FiberRuntime& m_runtime;
    Endpoint m_endpoint { "127.0.0.1", 0 };
    std::function<HttpLimits()> m_limits { [] { return HttpLimits {}; } };
    HttpHandler m_handler;
    RequestReader::WantsBody m_wantsBody;
    size_t m_bodyCopies { 0 };
    ConnectionBudget* m_budget { &ConnectionBudget::unlimited() };
    ListenerKind m_kind { ListenerKind::Callers };
};

} // namespace Brassladder::Common
