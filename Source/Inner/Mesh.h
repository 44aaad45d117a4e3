// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/ConnectionBudget.h"
#include "Common/Endpoint.h"
#include "Common/Listener.h"
#include "Inner/PeerLink.h"

#include <mutex>

namespace Brassladder::Inner {

// Sends items between routers, in order. Each direction uses its own connection, which is opened when there is an item
// to send. Delivery is at most once: when a connection breaks, items in flight are lost and the mesh does not resend
// them. It calls the sender's `onDisconnected` hook; the callee must send its current state again (see PeerLink.h for
// the guarantees). Items that are queued for the same peer are batched into frames. Thread-safe.
class Mesh {
public:
    struct Sender {
        std::string id;
        uint64_t incarnation { 0 }; // Differs for each start of the instance.
    };
    // `onAuthorized` must be called when the remote side has shown that it is a router of the fleet.
    using OnTunnelRequest = std::function<void(Http2Session::Socket, const std::function<void()>& onAuthorized)>;
    struct Hooks {
        // Called for each received item on a thread of the runtime, in sending order per connection. Must not block.
        std::function<void(const Sender&, const Wire::Item&)> onItem;
        // A connection to the peer was opened; the callee must send the state that the peer needs. Must not block.
        std::function<void(const std::string& peer)> onConnected;
        // A connection ended or could not be opened; sent items may be lost. Must not block.
        std::function<void(const std::string& peer)> onDisconnected;
        // A router asks for a tunnel (TunnelServer.h) on the port of the mesh; runs in the fiber of the connection.
        // Without the hook, the port accepts no tunnels.
        OnTunnelRequest onTunnelRequest;
    };

    Mesh(Common::FiberRuntime&, Sender self, std::string_view fleetKey);

    // Counts accepted connections in the budget, which must outlive the mesh. Must be called before listen().
    void setConnectionBudget(Common::ConnectionBudget& budget) { m_connections = &budget; }
    // Listens for peers. Returns the bound port, or PlatformUnavailable.
    Common::Result<uint16_t> listen(const Common::Endpoint&, Hooks);
    void setPeers(std::span<const Peer>);
    // Adds or replaces one peer.
    void setPeer(const Peer&);
    // Drops the item if the peer is unknown.
    void send(const std::string& peer, Wire::Item);
    const Sender& self() const { return m_self; }

    uint64_t bytesSent() const { return m_linkContext.bytesSent.load(std::memory_order_relaxed); }
    uint64_t bytesReceived() const { return m_bytesReceived.load(std::memory_order_relaxed); }
    uint64_t itemsSent() const { return m_itemsSent.load(std::memory_order_relaxed); }

private:
    using Links = std::map<std::string, std::shared_ptr<PeerLink>, std::less<>>;

    void serve(Http2Session::Socket);
    bool receive(FrameDecoder&, std::string_view bytes);
    std::shared_ptr<PeerLink> findOrCreateLink(const Peer&);

    Common::FiberRuntime& m_runtime;
    Sender m_self;
    Hooks m_hooks;
    PeerLink::Context m_linkContext;
    Common::ConnectionBudget* m_connections { &Common::ConnectionBudget::unlimited() };
    Common::Listener m_listener;
    std::mutex m_mutex;
    Links m_links; // Guarded by m_mutex.
    std::atomic<uint64_t> m_bytesReceived { 0 };
    std::atomic<uint64_t> m_itemsSent { 0 };
};

} // namespace Brassladder::Inner
