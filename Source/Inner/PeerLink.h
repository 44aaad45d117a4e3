// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Common/FiberRuntime.h"
#include "Inner/FrameCodec.h"
#include "Inner/Http2Session.h"

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace Brassladder::Inner {

struct Peer {
    std::string id;
    Common::Endpoint endpoint;
    bool operator==(const Peer&) const = default;
};

// Sends items to one peer: an outbox, and one connection that is opened when there is something to send.
//
// Connecting and writing suspend the sending fiber, and meanwhile the fiber that reads the connection, or `remove`, may
// end it. So no fiber keeps what it knew of the link across a suspension: it holds a reference to its own session, and
// looks at the link again afterwards. Whoever notices the end of a connection first calls `closeConnection`, which does
// in one step all that belongs to it; the others find it done.
//
// What the owner may rely on: an item is written to an open connection, or it is dropped and `onDisconnected` is called
// afterwards. An item that is sent after that call goes to another connection. `onDisconnected` is called once for each
// connection, before the next one is open, and never after the link was removed.
//
// `send` and `remove` may be called from any thread; all else runs on the link's thread.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    // What all links of one mesh share. Outlives them.
    struct Context {
        Common::FiberRuntime& runtime;
        std::string sender; // The id of this instance.
        uint64_t incarnation { 0 };
        std::string authorization;
        std::function<void(const std::string& peer)> onConnected;
        std::function<void(const std::string& peer)> onDisconnected;
        std::atomic<uint64_t> bytesSent { 0 };
    };

    PeerLink(Context&, Peer, size_t thread);

    const Peer& peer() const { return m_peer; }

    void send(Wire::Item);
    // Ends the connection for good; what still waits is dropped. The link of a peer with the same id must be on the
    // same thread and get its first item after this call.
    void remove();

private:
    using Session = std::shared_ptr<Http2Session>;

    void drain();
    // Whether something waits; otherwise the drain is over and the next `send` starts another one. For the drain alone.
    bool continueDrain();
    bool hasPendingItems();
    // What goes into one frame.
    std::vector<Wire::Item> takeBatch();
    void dropOutbox();
    void write(const Session&, std::vector<Wire::Item>);
    // The open session, connecting if there is none; null when the outbox was discarded instead.
    Session openSession();
    Session connect();
    void awaitReconnectDelay() const;
    void startReading(const Session&);
    void closeConnection(const Session&);
    // Ends the connection of a peer that does not take what it is sent.
    void closeStalledConnection();
    // Drops what waits, and notifies the owner.
    void dropOutboxAndNotify();
    void removeOnLinkThread();

    struct QueuedItem {
        Wire::Item item;
        size_t bytes { 0 };
    };

    Context& m_context;
    const Peer m_peer;
    const size_t m_thread;
    Session m_session; // Null when there is no connection.
    bool m_removed { false };
    Common::TimePoint m_lastConnectionEnd {}; // Of a connection, or of an attempt to get one.
    std::mutex m_mutex; // Guards the rest.
    std::deque<QueuedItem> m_outbox;
    size_t m_backlogBytes { 0 }; // Of all items in the outbox but the first.
    bool m_stalled { false }; // More waits than may.
    bool m_draining { false }; // A fiber is on its way to empty the outbox.
};

} // namespace Brassladder::Inner
