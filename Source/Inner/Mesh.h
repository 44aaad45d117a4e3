// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Endpoint.h"
#include "Common/Listener.h"
#include "Inner/FrameCodec.h"
#include "Inner/Http2Session.h"

#include <mutex>

namespace Brassladder::Inner {

struct Peer {
    std::string id;
    Common::Endpoint endpoint;
    bool operator==(const Peer&) const = default;
};

// Carries items between routers, in order, over one connection in each direction that is opened when there is
// something to send. The mesh never repeats an item: when a connection breaks, items in flight are lost, the hooks of
// both sides are called, and the owner of the state sends it again. Items that wait for one peer are sent in one frame.
// Safe to use from several threads.
class Mesh {
public:
    struct Sender {
        std::string id;
        uint64_t incarnation { 0 }; // Differs each time the instance starts.
    };
    struct Hooks {
        // Called on a thread of the runtime, in the order of sending. Must not block.
        std::function<void(const Sender&, const Wire::Item&)> onItem;
        // A connection to the peer is open: state that the peer needs must be sent now.
        std::function<void(const std::string& peer)> onConnected;
        std::function<void(const std::string& peer)> onDisconnected;
    };

    Mesh(Common::FiberRuntime&, Sender self, std::string_view fleetKey);

    // Listens for peers; the port in use, or PlatformUnavailable.
    Common::Result<uint16_t> listen(const Common::Endpoint&, Hooks);
    void setPeers(std::span<const Peer>);
    // Drops the item when the peer is unknown.
    void send(const std::string& peer, Wire::Item);
    const Sender& self() const { return m_self; }

    uint64_t bytesSent() const { return m_bytesSent.load(std::memory_order_relaxed); }
    uint64_t bytesReceived() const { return m_bytesReceived.load(std::memory_order_relaxed); }
    uint64_t itemsSent() const { return m_itemsSent.load(std::memory_order_relaxed); }

private:
    struct Link {
        Peer peer;
        size_t thread { 0 };
        std::mutex mutex;
        std::vector<Wire::Item> outbox;
        bool scheduled { false }; // A fiber is on its way to empty the outbox.
        bool removed { false };
        std::shared_ptr<Http2Session> session; // Touched on the link's thread only.
    };

    void serve(Http2Session::Socket);
    bool receive(FrameDecoder&, std::string_view bytes);
    void pump(const std::shared_ptr<Link>&);
    bool connect(const std::shared_ptr<Link>&);
    void drop(const std::shared_ptr<Link>&);

    Common::FiberRuntime& m_runtime;
    Sender m_self;
    std::string m_authorization;
    Hooks m_hooks;
    Common::Listener m_listener;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<Link>, std::less<>> m_links;
    std::atomic<uint64_t> m_bytesSent { 0 };
    std::atomic<uint64_t> m_bytesReceived { 0 };
    std::atomic<uint64_t> m_itemsSent { 0 };
};

} // namespace Brassladder::Inner
