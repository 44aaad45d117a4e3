// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Inner/TunnelServer.h"

#include "Common/Clock.h"
#include "Common/Digest.h"
#include "Common/FiberIo.h"
#include "Common/FiberRuntime.h"

#include <netinet/tcp.h>

namespace Brassladder::Inner {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

static constexpr unsigned httpVersion = 11; // HTTP/1.1, as Beast writes it.
// Open tunnels of one router; bounds what other routers may make it hold.
static constexpr size_t maxTunnels = 1024;
// For the head of the request, and for the connection to the upstream, which is one network round trip away.
static constexpr Common::Milliseconds requestTimeout { 1000 };
static constexpr Common::Milliseconds connectTimeout { 250 };
// Buffer of one direction.
static constexpr size_t relayBufferBytes = 4096;
static constexpr uint32_t maxHeadBytes = 4096;
// An idle connection whose remote side is unreachable is closed after about eight seconds.
static constexpr int keepAliveIdleSeconds = 5;
static constexpr int keepAliveIntervalSeconds = 1;
static constexpr int keepAliveProbes = 3;

TunnelServer::TunnelServer(std::string authorization, Hooks hooks)
    : m_authorization(std::move(authorization))
    , m_hooks(std::move(hooks))
{
}

static void detectUnreachableRemote(tcp::socket& socket)
{
    using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using Interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using Probes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(Idle(keepAliveIdleSeconds), ignored);
    socket.set_option(Interval(keepAliveIntervalSeconds), ignored);
    socket.set_option(Probes(keepAliveProbes), ignored);
}

// Two connected sockets. Used by the two fibers of one thread that relay a direction each.
class TunnelServer::Tunnel {
public:
    Tunnel(Socket router, Socket upstream)
        : m_router(std::move(router))
        , m_upstream(std::move(upstream))
    {
        for (auto* socket : { &m_router, &m_upstream }) {
            setResetOnClose(*socket, true);
            boost::system::error_code ignored;
            socket->set_option(tcp::no_delay(true), ignored);
            detectUnreachableRemote(*socket);
        }
    }

    static void run(const std::shared_ptr<Tunnel>& tunnel)
    {
        Common::FiberRuntime::spawnOnCurrentThread([tunnel] { tunnel->relay(tunnel->m_router, tunnel->m_upstream); });
        tunnel->relay(tunnel->m_upstream, tunnel->m_router);
    }

private:
    static void setResetOnClose(Socket& socket, bool resets)
    {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(resets, 0), ignored);
    }

    void relay(Socket& from, Socket& to)
    {
        std::vector<char> buffer(relayBufferBytes);
        while (true) {
            auto read = Common::awaitIo(
                [&](auto handler) { from.async_read_some(asio::buffer(buffer), std::move(handler)); });
            if (read.error == asio::error::eof)
                return endDirection(to);
            if (!read.ok())
                return reset();
            auto written = Common::awaitIo([&](auto handler) {
                asio::async_write(to, asio::buffer(buffer.data(), read.bytes), std::move(handler));
            });
            if (!written.ok())
                return reset();
        }
    }

    void endDirection(Socket& to)
    {
        boost::system::error_code ignored;
        to.shutdown(Socket::shutdown_send, ignored);
        if (++m_endedDirections < 2)
            return;
        for (auto* socket : { &m_router, &m_upstream }) {
            setResetOnClose(*socket, false);
            socket->close(ignored);
        }
    }

    void reset()
    {
        boost::system::error_code ignored;
        m_router.close(ignored);
        m_upstream.close(ignored);
    }

    Socket m_router;
    Socket m_upstream;
    int m_endedDirections { 0 };
};

namespace {

using Request = http::request<http::empty_body>;

std::string_view fieldOf(const Request& request, std::string_view name)
{
    auto value = request[beast::string_view(name.data(), name.size())];
    return { value.data(), value.size() };
}

bool readRequest(beast::tcp_stream& stream, http::request_parser<http::empty_body>& parser)
{
    // The router sends nothing after the head until it has the response.
    beast::flat_buffer buffer(maxHeadBytes);
    parser.header_limit(maxHeadBytes);
    stream.expires_after(requestTimeout);
    auto read
        = Common::awaitIo([&](auto handler) { http::async_read_header(stream, buffer, parser, std::move(handler)); });
    return read.ok() && !buffer.size();
}

void respond(beast::tcp_stream& stream, http::status status)
{
    http::response<http::empty_body> response { status, httpVersion };
    // A successful response to CONNECT has neither a length nor a body.
    if (status != http::status::ok)
        response.content_length(0);
    Common::awaitIo([&](auto handler) { http::async_write(stream, response, std::move(handler)); });
}

} // namespace

void TunnelServer::serve(Socket socket, const std::function<void()>& onAuthorized)
{
    beast::tcp_stream router(std::move(socket));
    http::request_parser<http::empty_body> parser;
    if (!readRequest(router, parser))
        return;
    const auto& request = parser.get();
    auto authorization = request[http::field::proxy_authorization];
    if (!Common::constantTimeEquals({ authorization.data(), authorization.size() }, m_authorization))
        return respond(router, http::status::proxy_authentication_required);
    onAuthorized();
    std::string target(request.target().data(), request.target().size());
    auto endpoint = Common::parseEndpoint(target);
    if (request.method() != http::verb::connect || isError(endpoint))
        return respond(router, http::status::bad_request);
    if (!m_hooks.allows({ std::string(fieldOf(request, tunnelUpstreamField)), valueOf(endpoint) }))
        return respond(router, http::status::forbidden);
    if (m_open.fetch_add(1) >= maxTunnels) {
        m_open.fetch_sub(1);
        return respond(router, http::status::service_unavailable);
    }
    m_hooks.onCountChange(1);
    if (auto upstream = m_hooks.connect(valueOf(endpoint), connectTimeout)) {
        respond(router, http::status::ok);
        Tunnel::run(std::make_shared<Tunnel>(router.release_socket(), std::move(*upstream)));
    } else {
        respond(router, http::status::bad_gateway);
    }
    m_hooks.onCountChange(-1);
    m_open.fetch_sub(1);
}

} // namespace Brassladder::Inner
