// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Precompiled.h"

#include <array>
#include <atomic>
#include <boost/intrusive/list.hpp>
#include <mutex>

// Bounds what all accepted connections of a process may hold together. docs/design/connection-budget.md compares the
// ways to do so.
namespace Brassladder::Common {

// What a connection is doing. Determines whether and when it is closed in favor of others.
enum class ConnectionStage : uint8_t {
    New, // Nothing was received yet.
    Head, // A part of the head of a request was received.
    Body, // The head and a part of the body were received.
    Idle, // Between two requests.
    Serving, // A whole request is being handled. Never closed.
    Sending, // The remote side does not read a response as fast as it is written.
    Closing, // The response was sent before the request was read; what still arrives is discarded.
    Trusted, // A connection of another router, which has shown the fleet key. Never closed.
};
inline constexpr size_t connectionStageCount = 8;
// Label of metrics.
std::string_view name(ConnectionStage);

// Who accepted a connection. A part of the connections is reserved for essential listeners: readiness, metrics, peers.
enum class ListenerKind : uint8_t { Callers, Essential };

// The budget of one process. Counts the connections and the bytes that they hold, at the cost of what is allocated for
// them: stack, buffers, parsed request, unsent response. When the budget is used up, connections that do not serve a
// request are closed: first those that have cost most without a result. Thread-safe; must outlive its connections.
class ConnectionBudget {
public:
    struct Capacity {
        size_t bytes { 0 };
        size_t connections { 0 };
        // Returns what accepted connections may hold on an instance: 2/5 of its memory, and half of the file
        // descriptors that remain after those for files, peers, the store and readiness. The other half is for the
        // upstreams of these connections. `memoryBytes` and `descriptors`: what the instance states; 0 if it states
        // nothing, then what the system shows (memory of the machine or its address space limit; RLIMIT_NOFILE).
        static Capacity ofInstance(size_t memoryBytes, size_t descriptors);
    };

    explicit ConnectionBudget(Capacity);
    // A budget for servers that are not limited.
    static ConnectionBudget& unlimited();

    const Capacity& capacity() const { return m_capacity; }
    struct Usage {
        size_t bytes { 0 };
        size_t connections { 0 };
    };
    Usage usage() const;
    // Returns the most bytes that were held at once since the last call.
    size_t takePeakBytes();
    // Sets the gauges of capacity and usage; called when the metrics are read.
    void exposeMetrics() const;

    // Held by each connection: the stack of its fiber, one read buffer, the socket.
    static constexpr size_t connectionBytes = size_t { 16 } * 1024;
    // Held in addition by a request that is handled: state of the request and the connection to its upstream.
    static constexpr size_t servingBytes = size_t { 24 } * 1024;

private:
    friend class BudgetedConnection;

    // Shared with the interruption, which may be pending when the connection ends.
    struct Eviction {
        std::atomic<bool> isEvicted { false };
        std::function<void()> interrupt; // Used on the thread of the connection only.
    };
    // One admitted connection. Guarded by the mutex, except `eviction` and `executor`.
    struct Member : boost::intrusive::list_base_hook<> {
        ConnectionStage stage { ConnectionStage::New };
        size_t bytes { 0 };
        TimePoint since; // When it entered the stage or made progress.
        boost::asio::any_io_executor executor;
        std::shared_ptr<Eviction> eviction { std::make_shared<Eviction>() };
    };
    using Members = boost::intrusive::list<Member, boost::intrusive::constant_time_size<false>>;

    bool admit(Member&, ListenerKind);
    void remove(Member&);
    void recordProgress(Member&);
    bool enter(Member&, ConnectionStage, size_t bytes);

    // The functions below require the lock.
    Members& membersIn(ConnectionStage stage) { return m_members[static_cast<size_t>(stage)]; }
    void setBytes(Member&, size_t bytes);
    bool makeRoomForConnection(ListenerKind);
    bool makeRoomForBytes(const Member& requester, size_t added, size_t total);
    // Returns the connection to close first, or null if none may be closed.
    Member* chooseForConnection();
    Member* chooseForBytes(const Member& requester, bool isLarge);
    static double costOf(const Member&, TimePoint);
    Member* oldestIn(ConnectionStage, const Member* except);
    // Returns the one that has been in its stage for the longest time, and at least for `minTime`.
    Member* oldestIn(std::span<const ConnectionStage>, Duration minTime);
    Member* costliestIn(ConnectionStage, const Member* except, Duration minTime);
    bool mayEvictMore() const;
    void evict(Member&);

    const Capacity m_capacity;
    mutable std::mutex m_mutex;
    std::array<Members, connectionStageCount> m_members; // In the order in which the connections entered the stage.
    Usage m_usage; // Without evicted connections.
    size_t m_peakBytes { 0 };
    Usage m_evicted; // Connections that were evicted and have not ended yet.
};

// The share of one connection in the budget. Used by the fiber of the connection, except that another connection may
// evict it.
class BudgetedConnection {
public:
    // `interrupt` ends the operation that the connection waits for. It runs at most once, on the thread of the
    // executor, and not after the destructor.
    BudgetedConnection(ConnectionBudget&, ListenerKind, boost::asio::any_io_executor, std::function<void()> interrupt);
    ~BudgetedConnection();
    BudgetedConnection(const BudgetedConnection&) = delete;
    BudgetedConnection& operator=(const BudgetedConnection&) = delete;

    // False if there was no room: the connection must be closed.
    bool isAdmitted() const { return m_isAdmitted; }
    // Whether the connection must end because others need its share.
    bool isEvicted() const { return m_member.eviction->isEvicted; }
    // Enters the stage and reserves this many bytes in all for it, before they are allocated. Closes other connections
    // to make room. Returns false if there is no room or this connection is evicted; its share is then unchanged.
    bool enter(ConnectionStage, size_t bytes);
    // Changes what is reserved without leaving the stage, or the place in its order.
    bool reserve(size_t bytes) { return bytes == m_member.bytes || enter(m_member.stage, bytes); }
    // Records that the connection has made progress, so that it counts as new in its stage.
    void recordProgress();
    size_t reservedBytes() const { return m_member.bytes; }
    ConnectionStage stage() const { return m_member.stage; }

private:
    ConnectionBudget& m_budget;
    ConnectionBudget::Member m_member;
    bool m_isAdmitted { false };
};

} // namespace Brassladder::Common
