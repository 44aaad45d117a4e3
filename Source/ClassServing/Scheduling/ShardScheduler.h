// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Scheduling/FairQueue.h"
#include "ClassServing/Scheduling/Types.h"
#include "ClassServing/Scheduling/UpstreamLedger.h"
#include "ClassServing/Scheduling/WaitEstimator.h"

#include <map>
#include <set>

namespace Brassladder::ClassServing::Scheduling {

struct ShardOptions {
    // Slots that classes below the highest tier may use at once under rule 4 of ShardScheduler.
    uint32_t guaranteedSlots { 1 };
    // Waiting requests per shard; bounds the memory of the queue (docs/CAPACITY.md).
    // At 350 bytes each, they take about 18 MB.
    static constexpr size_t defaultMaxWaiting = 50'000;
    size_t maxWaiting { defaultMaxWaiting };
    bool preemption { true };
};

// Owns the queue and the slot ledger of a shard of upstreams. Decides which requests are granted a slot, refused or
// preempted, in strict order of tiers. Not thread-safe.
//
// 1. A free slot is granted to the highest waiting tier; within a tier, to the flow with the lowest virtual time.
// 2. If no slot is free for a waiting request, a preemptible running request of the lowest tier is preempted.
// 3. If the queue is full, a waiting request of the lowest tier is refused first.
// 4. A class whose requests have waited longer than guaranteeAfter may use a guaranteed slot before higher tiers.
// 5. A request that is not expected to get a slot before its deadline is refused on arrival, with a retry time.
//
// Functions with a `Decisions` parameter append their decisions to it.
class ShardScheduler {
public:
    explicit ShardScheduler(ShardOptions options = {})
        : m_options(options)
    {
    }

    using Decisions = std::vector<Decision>;

    void setUpstreams(std::span<const UpstreamInfo> upstreams) { m_ledger.setUpstreams(upstreams); }
    void markLeaving(std::string_view upstream) { m_ledger.markLeaving(upstream); }
    void report(std::string_view upstream, const LoadReport& load) { m_ledger.report(upstream, load); }

    // Queues or refuses a request. If the id is already waiting, does nothing; if it is running, repeats its grant.
    void ask(const Ask&, TimePoint now, Decisions&);
    // Adds a request that is already running, which its entry reports after the shard moved to this home.
    void restore(const Ask&, std::string_view upstream, bool guaranteed, TimePoint now);
    // Releases the slot of a running request, or removes a waiting one.
    void release(const Release&, TimePoint now);
    // Until this time only tier 0 is granted, because entries still report running requests.
    void setCollectionEnd(TimePoint time) { m_collectionEnd = time; }

    // Makes all decisions that are due at this time.
    void decide(TimePoint now, Decisions&);

    // Releases all requests of an entry.
    void dropEntry(uint64_t entry, TimePoint now);

    bool isIdle() const { return m_waiting.empty(); }
    size_t waitingCount() const { return m_waiting.size(); }
    size_t waitingCount(Tier tier) const { return m_tiers[tier].size(); }
    size_t runningCount() const { return m_running.size(); }
    size_t runningCount(Tier tier) const { return m_runningByTier[tier]; }
    const UpstreamLedger& ledger() const { return m_ledger; }

private:
    struct ClassQueue {
        const ClassPolicy* policy { nullptr };
        std::list<WaitingRequest*> waiting; // In order of arrival at this scheduler.
        uint32_t runningGuaranteed { 0 };
    };
    struct RunningRequest {
        const ClassPolicy* policy { nullptr };
        ClassQueue* classQueue { nullptr };
        std::string upstream;
        TimePoint started;
        uint64_t flowKey { 0 };
        double slotSeconds { 0 };
        bool guaranteed { false };
        bool preempting { false };
    };
    using RunningKey = std::pair<TimePoint, AskId>;

    bool refuseLowerTier(Tier, Decisions&);
    ClassQueue& classQueue(const ClassPolicy&);
    void enqueue(const Ask&, uint64_t flowKey, double slotSeconds);
    void run(
        const Ask&, uint64_t flowKey, double slotSeconds, std::string_view upstream, bool guaranteed, TimePoint now);
    void dequeue(WaitingRequest&);
    void expire(TimePoint now, Decisions&);
    WaitingRequest* longestWaitPastBound(TimePoint now);
    void grantGuaranteed(TimePoint now, Decisions&);
    void grantPinned(Tier, TimePoint now, Decisions&);
    void grantTier(Tier, TimePoint now, Decisions&);
    void grant(WaitingRequest&, const std::string& upstream, bool guaranteed, TimePoint now, Decisions&);
    void preempt(TimePoint now, Decisions&);
    const AskId* victim(Tier above, TimePoint now) const;
    bool mayGrant(Tier tier, TimePoint now) const { return tier == 0 || now >= m_collectionEnd; }
    Common::Milliseconds retryAfterFor(Duration wait, const ClassPolicy&) const;
    // Returns the time until a guaranteed slot would serve a new request of the class, regardless of higher tiers.
    // `slotSeconds`: expected value per request of the class.
    Duration guaranteedWait(const ClassPolicy&, double slotSeconds) const;

    ShardOptions m_options;
    UpstreamLedger m_ledger;
    WaitEstimator m_estimator;
    std::array<FairQueue, tierCount> m_tiers;
    std::array<std::list<WaitingRequest*>, tierCount> m_pinned;
    std::unordered_map<AskId, WaitingRequest> m_waiting;
    std::multimap<TimePoint, WaitingRequest*> m_deadlines;
    std::map<std::string, ClassQueue, std::less<>> m_classes;
    std::unordered_map<AskId, RunningRequest> m_running;
    // Requests that may be preempted, by start time. The latest one is preempted first, because it loses the least
    // progress.
    std::array<std::set<RunningKey>, tierCount> m_preemptible;
    std::array<size_t, tierCount> m_runningByTier {};
    uint32_t m_guaranteedInUse { 0 };
    uint32_t m_preempting { 0 };
    TimePoint m_collectionEnd {};
};

} // namespace Brassladder::ClassServing::Scheduling
