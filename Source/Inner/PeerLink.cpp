// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Inner/PeerLink.h"

#include "Common/Clock.h"

namespace Brassladder::Inner {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

// Timeout of a connection attempt between routers of a region.
// One-way latency within a region is a few milliseconds.
static constexpr Common::Milliseconds connectTimeout { 500 };
// Minimum delay between the end of a connection or failed attempt and the next attempt. `onDisconnected` hooks that
// send items would otherwise cause a busy loop of connection attempts to a peer that refuses them.
static constexpr Common::Milliseconds reconnectDelay { 10 };
// A connection is closed when more than this is queued behind the first item. The first item may have any size.
static constexpr size_t maxBacklogBytes = 8 * 1024 * 1024;
// Queued items are batched into one frame up to this size; a larger item gets a frame of its own. While a batch is
// encoded, it is in memory twice.
static constexpr size_t maxBatchBytes = 1024 * 1024;

PeerLink::PeerLink(Context& context, Peer peer, size_t thread)
    : m_context(context)
    , m_peer(std::move(peer))
    , m_thread(thread)
{
}

void PeerLink::send(Wire::Item item)
{
    bool startsDrain = false;
    bool exceedsBacklog = false;
    {
        std::lock_guard lock(m_mutex);
        auto bytes = item.ByteSizeLong();
        if (!m_outbox.empty())
            m_backlogBytes += bytes;
        m_outbox.push_back({ std::move(item), bytes });
        exceedsBacklog = m_backlogBytes > maxBacklogBytes && !std::exchange(m_backlogExceeded, true);
        startsDrain = !std::exchange(m_draining, true);
    }
    if (exceedsBacklog)
        m_context.runtime.spawnOn(m_thread, [self = shared_from_this()] { self->closeBackloggedConnection(); });
    if (startsDrain)
        m_context.runtime.spawnOn(m_thread, [self = shared_from_this()] { self->drain(); });
}

void PeerLink::remove()
{
    m_context.runtime.spawnOn(m_thread, [self = shared_from_this()] { self->removeOnLinkThread(); });
}

void PeerLink::removeOnLinkThread()
{
    if (auto session = m_session)
        closeConnection(session);
    else if (hasPendingItems())
        dropOutboxAndNotify();
    m_removed = true;
}

// Sends queued items frame by frame until the outbox is empty. At most one fiber runs this at a time.
void PeerLink::drain()
{
    while (continueDrain()) {
        if (auto session = openSession())
            write(session, takeBatch());
    }
}

bool PeerLink::continueDrain()
{
    std::lock_guard lock(m_mutex);
    m_draining = !m_outbox.empty();
    return m_draining;
}

bool PeerLink::hasPendingItems()
{
    std::lock_guard lock(m_mutex);
    return !m_outbox.empty();
}

std::vector<Wire::Item> PeerLink::takeBatch()
{
    std::vector<Wire::Item> batch;
    size_t bytes = 0;
    std::lock_guard lock(m_mutex);
    while (!m_outbox.empty() && (batch.empty() || bytes + m_outbox.front().bytes <= maxBatchBytes)) {
        bytes += m_outbox.front().bytes;
        batch.push_back(std::move(m_outbox.front().item));
        m_outbox.pop_front();
        // The backlog excludes the new first item.
        m_backlogBytes -= m_outbox.empty() ? m_backlogBytes : m_outbox.front().bytes;
    }
    m_backlogExceeded = m_backlogBytes > maxBacklogBytes;
    return batch;
}

void PeerLink::dropOutbox()
{
    std::lock_guard lock(m_mutex);
    m_outbox.clear();
    m_backlogBytes = 0;
    m_backlogExceeded = false;
}

void PeerLink::write(const Session& session, std::vector<Wire::Item> items)
{
    std::string bytes;
    {
        Wire::Frame frame;
        frame.set_from(m_context.sender);
        frame.set_incarnation(m_context.incarnation);
        for (auto& item : items)
            frame.add_items()->Swap(&item);
        bytes = encodeFrame(frame);
    }
    items.clear();
    m_context.bytesSent.fetch_add(bytes.size(), std::memory_order_relaxed);
    session->send(std::move(bytes));
}

PeerLink::Session PeerLink::openSession()
{
    if (m_session && m_session->isOpen())
        return m_session;
    // The connection ended during a write, and its reader fiber has not called `closeConnection` yet.
    if (auto ended = m_session) {
        closeConnection(ended);
        return nullptr;
    }
    awaitReconnectDelay();
    auto session = m_removed ? nullptr : connect();
    if (m_removed) {
        // `removeOnLinkThread` has already called `onDisconnected` if that was necessary.
        dropOutbox();
        return nullptr;
    }
    if (!session) {
        dropOutboxAndNotify();
        return nullptr;
    }
    m_session = session;
    startReading(session);
    m_context.onConnected(m_peer.id);
    return session;
}

void PeerLink::awaitReconnectDelay() const
{
    auto remainingDelay = m_lastConnectionEnd + reconnectDelay - Common::now();
    if (remainingDelay.count() > 0)
        Common::sleepFor(remainingDelay);
}

PeerLink::Session PeerLink::connect()
{
    boost::beast::tcp_stream stream(Common::FiberRuntime::currentContext());
    stream.expires_after(connectTimeout);
    boost::system::error_code error;
    tcp::endpoint target(asio::ip::make_address(m_peer.endpoint.address, error), m_peer.endpoint.port);
    auto connected = Common::awaitIo([&](auto handler) { stream.async_connect(target, std::move(handler)); });
    if (!connected.ok())
        return nullptr;
    return Http2Session::client(stream.release_socket(), m_context.authorization);
}

void PeerLink::startReading(const Session& session)
{
    Common::FiberRuntime::spawnOnCurrentThread([self = shared_from_this(), session] {
        session->run();
        self->closeConnection(session);
    });
}

void PeerLink::closeConnection(const Session& session)
{
    session->close();
    // Another fiber has already handled the end of this connection.
    if (m_session != session)
        return;
    m_session = nullptr;
    dropOutboxAndNotify();
}

void PeerLink::closeBackloggedConnection()
{
    {
        std::lock_guard lock(m_mutex);
        if (!m_backlogExceeded)
            return;
    }
    // If there is no session yet, `connectTimeout` ends the connection attempt.
    if (auto session = m_session)
        closeConnection(session);
}

void PeerLink::dropOutboxAndNotify()
{
    m_lastConnectionEnd = Common::now();
    dropOutbox();
    m_context.onDisconnected(m_peer.id);
}

} // namespace Brassladder::Inner
