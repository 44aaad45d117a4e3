// SPDX-License-Identifier: Apache-2.0
#include "Common/Listener.h"

#include "Common/Clock.h"
#include "Common/Log.h"
#include "Common/Metrics.h"

namespace Brassladder::Common {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Delay after a failed accept, most likely for lack of file descriptors; an immediate retry would spin.
static constexpr Milliseconds acceptRetryDelay { 50 };

Listener::Listener(FiberRuntime& runtime, OnConnection onConnection)
    : m_runtime(runtime)
    , m_onConnection(std::move(onConnection))
    , m_acceptor(std::make_unique<tcp::acceptor>(runtime.context(0)))
{
}

Result<uint16_t> Listener::listen(const Endpoint& endpoint)
{
    boost::system::error_code error;
    tcp::endpoint bound(asio::ip::make_address(endpoint.address, error), endpoint.port);
    if (!error)
        m_acceptor->open(bound.protocol(), error);
    if (!error)
        m_acceptor->set_option(tcp::acceptor::reuse_address(true), error);
    if (!error && m_bufferBytes) {
        // Accepted sockets inherit these options.
        m_acceptor->set_option(asio::socket_base::receive_buffer_size(m_bufferBytes), error);
        m_acceptor->set_option(asio::socket_base::send_buffer_size(m_bufferBytes), error);
    }
    if (!error)
        m_acceptor->bind(bound, error);
    if (!error)
        m_acceptor->listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return makeError(
            ErrorKind::PlatformUnavailable, "cannot listen on " + endpoint.text() + ": " + error.message());
    uint16_t port = m_acceptor->local_endpoint().port();
    asio::post(m_runtime.context(0), [this] { accept(); });
    return port;
}

void Listener::accept()
{
    size_t thread = m_runtime.nextThread();
    m_acceptor->async_accept(
        m_runtime.context(thread), [this, thread](boost::system::error_code error, tcp::socket socket) {
            if (m_stopping)
                return;
            if (error) {
                m_runtime.spawnOn(0, [this] {
                    sleepFor(acceptRetryDelay);
                    accept();
                });
                return;
            }
            auto shared = std::make_shared<tcp::socket>(std::move(socket));
            m_runtime.spawnOn(thread, [this, shared] { serve(std::move(*shared)); });
            accept();
        });
}

void Listener::serve(tcp::socket socket) const
{
    try {
        m_onConnection(std::move(socket));
    } catch (const std::exception& exception) {
        Metrics::counter("brassladder_failed_connections_total", "Connections that an unexpected exception ended")
            .Increment();
        log(LogLevel::Error, "common", "connection.failed", { { "error", exception.what() } });
    }
}

void Listener::stop()
{
    m_stopping = true;
    asio::post(m_runtime.context(0), [this] {
        boost::system::error_code ignored;
        m_acceptor->close(ignored);
    });
}

} // namespace Brassladder::Common
