// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Inner/Mesh.h"

#include "Common/Clock.h"
#include "Common/Digest.h"
#include "Common/Log.h"

namespace Brassladder::Inner {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using Common::LogLevel;

// For a connection between routers. One-way latency inside a region is a few milliseconds (brief, "Sizes of today").
static constexpr Common::Milliseconds connectTimeout { 500 };
// A connection whose peer does not read is closed when its backlog exceeds this. Chosen, not measured.
static constexpr size_t maxBacklogBytes = 8 * 1024 * 1024;

Mesh::Mesh(Common::FiberRuntime& runtime, Sender self, std::string_view fleetKey)
    : m_runtime(runtime)
    , m_self(std::move(self))
    , m_authorization("Bearer " + std::string(fleetKey))
    , m_listener(runtime, [this](tcp::socket socket) { serve(std::move(socket)); })
{
}

Common::Result<uint16_t> Mesh::listen(const Common::Endpoint& endpoint, Hooks hooks)
{
    m_hooks = std::move(hooks);
    return m_listener.listen(endpoint);
}

void Mesh::serve(Http2Session::Socket socket)
{
    auto decoder = std::make_shared<FrameDecoder>();
    Http2Session::Hooks hooks;
    hooks.authorize = [this](std::string_view given) { return Common::equalInConstantTime(given, m_authorization); };
    hooks.onData = [this, decoder](std::string_view bytes) { return receive(*decoder, bytes); };
    Http2Session::server(std::move(socket), std::move(hooks))->run();
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
    std::map<std::string, std::shared_ptr<Link>, std::less<>> next;
    for (const auto& peer : peers) {
        if (peer.id == m_self.id)
            continue;
        auto old = m_links.find(peer.id);
        if (old != m_links.end() && old->second->peer == peer) {
            next.emplace(peer.id, old->second);
            continue;
        }
        auto link = std::make_shared<Link>();
        link->peer = peer;
        link->thread = m_runtime.nextThread();
        next.emplace(peer.id, std::move(link));
    }
    for (auto& [id, link] : m_links) {
        auto kept = next.find(id);
        if (kept != next.end() && kept->second == link)
            continue;
        m_runtime.spawnOn(link->thread, [this, link = link] {
            link->removed = true;
            drop(link);
        });
    }
    m_links = std::move(next);
}

void Mesh::send(const std::string& peer, Wire::Item item)
{
    std::shared_ptr<Link> link;
    {
        std::lock_guard lock(m_mutex);
        auto found = m_links.find(peer);
        if (found == m_links.end())
            return;
        link = found->second;
    }
    m_itemsSent.fetch_add(1, std::memory_order_relaxed);
    {
        std::lock_guard lock(link->mutex);
        link->outbox.push_back(std::move(item));
        if (std::exchange(link->scheduled, true))
            return;
    }
    m_runtime.spawnOn(link->thread, [this, link] { pump(link); });
}

// Sends all items that wait, in one frame at a time, until none waits.
void Mesh::pump(const std::shared_ptr<Link>& link)
{
    bool connected = link->session && link->session->isOpen();
    if (!connected)
        connected = connect(link);
    while (true) {
        Wire::Frame frame;
        frame.set_from(m_self.id);
        frame.set_incarnation(m_self.incarnation);
        {
            std::lock_guard lock(link->mutex);
            if (link->outbox.empty()) {
                link->scheduled = false;
                return;
            }
            for (auto& item : link->outbox)
                frame.add_items()->Swap(&item);
            link->outbox.clear();
        }
        if (!connected)
            continue;
        // The connection may have ended while the last frame was written. What waits now is lost with it.
        auto session = link->session;
        if (!session)
            continue;
        auto bytes = encodeFrame(frame);
        m_bytesSent.fetch_add(bytes.size(), std::memory_order_relaxed);
        session->send(bytes);
        if (session->backlog() > maxBacklogBytes)
            session->close();
    }
}

bool Mesh::connect(const std::shared_ptr<Link>& link)
{
    const auto& endpoint = link->peer.endpoint;
    boost::beast::tcp_stream stream(Common::FiberRuntime::here());
    stream.expires_after(connectTimeout);
    boost::system::error_code error;
    tcp::endpoint target(asio::ip::make_address(endpoint.address, error), endpoint.port);
    auto connected = Common::awaitIo([&](auto handler) { stream.async_connect(target, std::move(handler)); });
    if (!connected.ok() || link->removed) {
        m_hooks.onDisconnected(link->peer.id);
        return false;
    }
    link->session = Http2Session::client(stream.release_socket(), m_authorization);
    Common::FiberRuntime::spawnHere([this, link, session = link->session] {
        session->run();
        if (link->session == session)
            drop(link);
        m_hooks.onDisconnected(link->peer.id);
    });
    m_hooks.onConnected(link->peer.id);
    return true;
}

void Mesh::drop(const std::shared_ptr<Link>& link)
{
    if (auto session = std::exchange(link->session, nullptr))
        session->close();
}

} // namespace Brassladder::Inner
