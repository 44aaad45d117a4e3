// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Config/Table.h"
#include "ClassServing/Dispatch/Sharding.h"
#include "ClassServing/Scheduling/Types.h"
#include "Common/Precompiled.h"
#include "Inner/Mesh.h"

#include <atomic>
#include <mutex>

namespace Brassladder::ClassServing::Dispatch {

// A request for a slot of a shard.
struct SlotRequest {
    ShardKey shard;
    std::shared_ptr<const Config::RequestClass> requestClass;
    std::string workspace;
    uint64_t prefixHash { 0 };
    Common::TimePoint arrivedAt;
    std::string pinned;
    std::string avoid;
};

// A granted slot. Its owner must pass it to GrantClient::release.
struct Slot {
    uint64_t sequence { 0 };
    std::string upstream;
    std::string home;
    bool guaranteed { false };
    explicit operator bool() const { return sequence; }
};

// Cancels the wait for a slot when the caller disconnects, and delivers a preemption to a running request. Shared by
// the request's fiber and the threads that receive messages. Thread-safe.
class RequestSignal {
public:
    // If a preemption has arrived since the slot was granted, calls the hook before it returns. The hook must not call
    // this object, because a lock is held.
    void setOnPreempt(std::function<void()> hook);
    void preempt(uint64_t sequence);
    void cancel();
    bool isCancelled() const { return m_cancelled; }

private:
    friend class GrantClient;
    // Resets the state of an earlier wait of the same request.
    void beginWait(uint64_t sequence);

    // A thread mutex, not a fiber mutex, because homes call with their locks held and must not be suspended.
    std::mutex m_mutex;
    boost::fibers::condition_variable_any m_changed;
    std::optional<Common::Result<Slot>> m_outcome;
    bool m_queued { false };
    uint64_t m_sequence { 0 }; // Of the current wait and of the slot granted for it.
    bool m_preemptionPending { false }; // A preemption arrived before the hook was set.
    std::atomic<bool> m_cancelled { false };
    std::function<void()> m_onPreempt;
};

// Obtains slots from homes for the requests of this router, the entry. It owns the state of each waiting or running
// request. When the home of a shard changes or reconnects, it resends this state, from which the home rebuilds its
// own. Thread-safe.
class GrantClient {
public:
    struct Hooks {
        std::function<void(const std::string& peer, Inner::Wire::Item)> send;
        std::function<std::shared_ptr<const Membership::View>()> view;
        // The home did not respond to a request of the highest tier in time.
        std::function<void(const std::string& home)> onHomeUnresponsive;
    };

    explicit GrantClient(Hooks hooks)
        : m_hooks(std::move(hooks))
    {
    }

    // Suspends the calling fiber until a slot is granted or the request is refused. Returns CallerGone if the request
    // is cancelled, or WaitExpired if no home has decided when a grace period after the deadline ends. A paused request
    // has no deadline.
    Common::Result<Slot> acquire(const SlotRequest&, const std::shared_ptr<RequestSignal>&);
    void release(const Slot&, const ShardKey&, const Scheduling::Release&);

    void onGrant(const std::string& home, const Inner::Wire::Grant&);
    void onRefusal(const std::string& home, const Inner::Wire::Refusal&);
    void onPreemption(const std::string& home, const Inner::Wire::Preemption&);
    void onQueued(const Inner::Wire::Queued&);
    void onViewChanged(const Membership::View&);
    // Called when a new connection to a home is open. Resends all requests of that home.
    void onConnected(const std::string& home);
    // Resends requests that are still waiting, in case the home dropped the state of this router. Must be called
    // periodically.
    void resendWaiting();

    size_t outstanding(const ShardKey&) const;

private:
    struct Pending {
        SlotRequest request;
        std::string home;
        std::shared_ptr<RequestSignal> signal;
        std::string upstream; // Empty while the request waits.
        bool guaranteed { false };
        Common::TimePoint lastSent;
    };

    Inner::Wire::Item askItem(uint64_t sequence, const Pending&, Common::TimePoint now) const;
    uint64_t sendAsk(const SlotRequest&, const std::shared_ptr<RequestSignal>&);
    // Sends nothing if the request has ended or its home has changed.
    void resendAsk(const std::string& home, uint64_t sequence);
    Common::Result<Slot> awaitOutcome(uint64_t sequence, const SlotRequest&, RequestSignal&);
    std::string homeOfPending(uint64_t sequence) const;
    void withdraw(uint64_t sequence);
    void deliverOutcome(const std::shared_ptr<RequestSignal>&, Common::Result<Slot>);

    Hooks m_hooks;
    // Held during a state change and the send of its message, so messages are sent in the order of the changes. A home
    // that received a request after its release would never free the slot. Locked before m_mutex. Sending does not
    // suspend. A local home may respond during the send; the handlers of its responses must not lock this mutex.
    std::mutex m_sendOrderMutex;
    mutable std::mutex m_mutex;
    std::map<uint64_t, Pending> m_pending;
    std::map<ShardKey, size_t> m_outstanding;
    uint64_t m_lastSequence { 0 };
};

} // namespace Brassladder::ClassServing::Dispatch
