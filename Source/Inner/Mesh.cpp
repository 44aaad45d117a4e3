// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Inner/Mesh.h"

#include "Common/Clock.h"
#include "Common/Digest.h"
#include "Common/Log.h"

namespace Brassladder::Inner {

using Common::LogLevel;

// Memory of an HTTP/2 session: its read buffer and the state of nghttp2.
static constexpr size_t sessionBytes = size_t { 32 } * 1024;

Mesh::Mesh(Common::FiberRuntime& runtime, Sender self, std::string_view fleetKey)
    : m_runtime(runtime)
    , m_self(std::move(self))
    , m_linkContext { runtime, m_self.id, m_self.incarnation, "Bearer " + std::string(fleetKey),
        [this](const std::string& peer) { m_hooks.onConnected(peer); },
        [this](const std::string& peer) { m_hooks.onDisconnected(peer); } }
    , m_listener(runtime, [this](Http2Session::Socket socket) { serve(std::move(socket)); })
{
}

Common::Result<uint16_t> Mesh::listen(const Common::Endpoint& endpoint, Hooks hooks)
{
    m_hooks = std::move(hooks);
    return m_listener.listen(endpoint);
}

// The preface of HTTP/2 begins with `PRI` (RFC 9113, 3.4), a request for a tunnel with `CONNECT`.
static bool beginsTunnelRequest(Http2Session::Socket& socket)
{
    auto readable = Common::awaitIo(
        [&](auto handler) { socket.async_wait(Http2Session::Socket::wait_read, std::move(handler)); });
    if (!readable.ok())
        return false;
    char first = 0;
    boost::system::error_code error;
    socket.receive(boost::asio::buffer(&first, 1), Http2Session::Socket::message_peek, error);
    return !error && first == 'C';
}

// Until the remote side has shown the fleet key, its connection may be closed in favor of others.
void Mesh::serve(Http2Session::Socket socket)
{
    using Common::ConnectionStage;
    std::shared_ptr<Http2Session> session;
    Common::BudgetedConnection share(*m_connections, Common::ListenerKind::Essential, socket.get_executor(), [&] {
        boost::system::error_code ignored;
        if (session)
            session->close();
        else
            socket.close(ignored);
    });
    if (!share.isAdmitted())
        return;
    std::function<void()> trust = [&] { share.enter(ConnectionStage::Trusted, share.reservedBytes()); };
    if (m_hooks.onTunnelRequest && beginsTunnelRequest(socket))
        return m_hooks.onTunnelRequest(std::move(socket), trust);
    if (!share.enter(ConnectionStage::Head, Common::ConnectionBudget::connectionBytes + sessionBytes))
        return;
    auto decoder = std::make_shared<FrameDecoder>();
    Http2Session::Hooks hooks;
    hooks.authorize = [&](std::string_view given) {
        bool isAuthorized = Common::constantTimeEquals(given, m_linkContext.authorization);
        if (isAuthorized)
            trust();
        return isAuthorized;
    };
    hooks.onData = [this, decoder](std::string_view bytes) { return receive(*decoder, bytes); };
    session = Http2Session::server(std::move(socket), std::move(hooks));
    session->run();
}

bool Mesh::receive(FrameDecoder& decoder, std::string_view bytes)
{
    m_bytesReceived.fetch_add(bytes.size(), std::memory_order_relaxed);
    auto frames = decoder.feed(bytes);
    if (isError(frames)) {
        Common::log(LogLevel::Warning, "inner", "peer.bad_frame", { { "message", errorOf(frames).message } });
        return false;
    }
    for (const auto& frame : valueOf(frames)) {
        Sender sender { frame.from(), frame.incarnation() };
        for (const auto& item : frame.items())
            m_hooks.onItem(sender, item);
    }
    return true;
}

void Mesh::setPeers(std::span<const Peer> peers)
{
    std::lock_guard lock(m_mutex);
    Links next;
    for (const auto& peer : peers) {
        if (peer.id != m_self.id)
            next.emplace(peer.id, findOrCreateLink(peer));
    }
    for (auto& [id, link] : m_links) {
        auto kept = next.find(id);
        if (kept == next.end() || kept->second != link)
            link->remove();
    }
    m_links = std::move(next);
}

void Mesh::setPeer(const Peer& peer)
{
    if (peer.id == m_self.id)
        return;
    std::lock_guard lock(m_mutex);
    auto link = findOrCreateLink(peer);
    auto& current = m_links[peer.id];
    if (current && current != link)
        current->remove();
    current = std::move(link);
}

// Returns the existing link if the peer is unchanged, otherwise a new one. The caller holds m_mutex.
std::shared_ptr<PeerLink> Mesh::findOrCreateLink(const Peer& peer)
{
    auto old = m_links.find(peer.id);
    if (old != m_links.end() && old->second->peer() == peer)
        return old->second;
    // All links to one id run on the same thread. This orders the end of a link before any event of its successor, even
    // if the peer was absent from the list for a while.
    return std::make_shared<PeerLink>(m_linkContext, peer, m_runtime.threadFor(peer.id));
}

void Mesh::send(const std::string& peer, Wire::Item item)
{
    // The lock is held until the item is in the outbox, so `setPeers` cannot remove the link in between.
    std::lock_guard lock(m_mutex);
    auto found = m_links.find(peer);
    if (found == m_links.end())
        return;
    m_itemsSent.fetch_add(1, std::memory_order_relaxed);
    found->second->send(std::move(item));
}

} // namespace Brassladder::Inner
