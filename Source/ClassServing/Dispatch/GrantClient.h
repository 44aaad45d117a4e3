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

// What a request needs a slot for.
struct SlotRequest {
    ShardKey shard;
    std::shared_ptr<const Config::RequestClass> requestClass;
    std::string workspace;
    uint64_t prefix { 0 };
    Common::TimePoint arrived;
    std::string pinned;
    std::string avoid;
};

// A slot that was granted, until it is released.
struct Slot {
    uint64_t sequence { 0 };
    std::string upstream;
    std::string home;
    bool guaranteed { false };
    explicit operator bool() const { return sequence; }
};

// Ends a request's wait for a slot when its caller leaves, and delivers a preemption to a running request. Shared
// between the request's fiber and the threads that receive messages.
class RequestSignal {
public:
    // A preemption that came since the slot was granted is delivered at once. The hook must not call back.
    void setOnPreempt(std::function<void()> hook);
    void preempt(uint64_t sequence);
    void cancel();
    bool isCancelled() const { return m_cancelled; }

private:
    friend class GrantClient;
    // Forgets what an earlier wait of the same request left.
    void beginWait(uint64_t sequence);

    // A thread mutex, not a fiber mutex: homes call with their own locks held and must not be suspended.
    std::mutex m_mutex;
    boost::fibers::condition_variable_any m_changed;
    std::optional<Common::Result<Slot>> m_outcome;
    bool m_queued { false };
    uint64_t m_sequence { 0 }; // Of the wait, and of the slot that came of it.
    bool m_preemptionPending { false }; // And nobody was told yet.
    std::atomic<bool> m_cancelled { false };
    std::function<void()> m_onPreempt;
};

// The entry's side of granting. Owns, for each request of this router, what it asked of which home, and sends it again
// to the next home when one is lost, so that the homes' state can always be rebuilt. Safe to use from several threads.
class GrantClient {
public:
    struct Hooks {
        std::function<void(const std::string& peer, Inner::Wire::Item)> send;
        std::function<std::shared_ptr<const Membership::View>()> view;
        // A home did not answer the highest tier and sends nothing else either.
        std::function<void(const std::string& home)> onHomeUnresponsive;
    };

    explicit GrantClient(Hooks hooks)
        : m_hooks(std::move(hooks))
    {
    }

    // Suspends the calling fiber until a slot is granted or the request is refused, withdrawn (CallerGone) or, as a
    // last resort when no home answers, expired (WaitExpired).
    Common::Result<Slot> acquire(const SlotRequest&, const std::shared_ptr<RequestSignal>&);
    void release(const Slot&, const ShardKey&, const Scheduling::Release&);

    void onGrant(const std::string& home, const Inner::Wire::Grant&);
    void onRefusal(const std::string& home, const Inner::Wire::Refusal&);
    void onPreemption(const std::string& home, const Inner::Wire::Preemption&);
    void onQueued(const Inner::Wire::Queued&);
    void onViewChanged(const Membership::View&);
    // A new connection to a home is open: sends everything again.
    void onConnected(const std::string& home);
    // Sends requests that have waited long again, in case the home forgot this router while it was silent.
    void resendWaiting();

    size_t outstanding(const ShardKey&) const;

private:
    struct Pending {
        SlotRequest request;
        std::string home;
        std::shared_ptr<RequestSignal> signal;
        std::string upstream; // Empty while it waits.
        bool guaranteed { false };
        Common::TimePoint lastSent;
    };

    Inner::Wire::Item askItem(uint64_t sequence, const Pending&, Common::TimePoint now) const;
    uint64_t sendAsk(const SlotRequest&, const std::shared_ptr<RequestSignal>&);
    // Nothing is sent for a request that has ended or whose home has changed.
    void resendAsk(const std::string& home, uint64_t sequence);
    Common::Result<Slot> awaitOutcome(uint64_t sequence, const SlotRequest&, RequestSignal&);
    std::string homeOfPending(uint64_t sequence) const;
    void withdraw(uint64_t sequence);
    void deliverOutcome(const std::shared_ptr<RequestSignal>&, Common::Result<Slot>);

    Hooks m_hooks;
    // Held over each change and the message that tells a home of it, so that messages leave in the order of the
    // changes: a home that heard of a request after its release would hold a slot for nobody. Locked before m_mutex;
    // sending does not suspend, and what a home does at once in response takes only the locks below.
    std::mutex m_sendOrderMutex;
    mutable std::mutex m_mutex;
    std::map<uint64_t, Pending> m_pending;
    std::map<ShardKey, size_t> m_outstanding;
    uint64_t m_lastSequence { 0 };
};

} // namespace Brassladder::ClassServing::Dispatch
