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

// Sends items to one peer. Owns an outbox and one connection, which is opened when there is an item to send.
//
// Connecting and writing suspend the sending fiber. Meanwhile the reader fiber or `remove` may end the connection, so a
// fiber holds a reference to its own session and checks the state of the link again after each suspension. Each fiber
// that detects the end of a connection calls `closeConnection`. The first call handles it without suspension; later
// calls do nothing.
//
// Guarantees: each item is either written to an open connection, or dropped before a call of `onDisconnected`. Items
// sent after that call use another connection. `onDisconnected` is called once per connection or failed connection
// attempt, before the next connection opens, and never after the link was removed.
//
// `send` and `remove` are thread-safe; everything else runs on the link's thread.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    // State that all links of one mesh share. Must outlive them.
    struct Context {
        Common::FiberRuntime& runtime;
        std::string sender; // Id of this instance.
        uint64_t incarnation { 0 };
        std::string authorization;
        std::function<void(const std::string& peer)> onConnected;
        std::function<void(const std::string& peer)> onDisconnected;
        std::atomic<uint64_t> bytesSent { 0 };
    };

    PeerLink(Context&, Peer, size_t thread);

    const Peer& peer() const { return m_peer; }

    void send(Wire::Item);
    // Closes the connection, drops queued items and disables the link. A later link to a peer with the same id must use
    // the same thread, and its first `send` must follow this call.
    void remove();

private:
    using Session = std::shared_ptr<Http2Session>;

    void drain();
    // Returns whether items are queued. If not, marks the drain as finished, and the next `send` starts a new one.
    // Called only by `drain`.
    bool continueDrain();
    bool hasPendingItems();
    // Takes the items for one frame from the outbox.
    std::vector<Wire::Item> takeBatch();
    void dropOutbox();
    void write(const Session&, std::vector<Wire::Item>);
    // Returns the open session, after connecting if there is none. Returns nullptr if the link was removed or there is
    // no connection; the outbox was then dropped.
    Session openSession();
    Session connect();
    void awaitReconnectDelay() const;
    void startReading(const Session&);
    void closeConnection(const Session&);
    // Closes the connection if the backlog still exceeds its limit.
    void closeBackloggedConnection();
    void dropOutboxAndNotify();
    void removeOnLinkThread();

    struct QueuedItem {
        Wire::Item item;
        size_t bytes { 0 };
    };

    Context& m_context;
    const Peer m_peer;
    const size_t m_thread;
    Session m_session; // Null if not connected.
    bool m_removed { false };
    Common::TimePoint m_lastConnectionEnd {}; // End of a connection or of a failed attempt.
    std::mutex m_mutex; // Guards the members below.
    std::deque<QueuedItem> m_outbox;
    size_t m_backlogBytes { 0 }; // Size of all queued items except the first.
    bool m_backlogExceeded { false }; // The backlog exceeds its limit.
    bool m_draining { false }; // A fiber is emptying the outbox.
};

} // namespace Brassladder::Inner
