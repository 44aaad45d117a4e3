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
    // Slots that lower classes are sure of during a long burst. They are never part of the higher tiers' room.
    uint32_t guaranteedSlots { 1 };
    // Requests that may wait in one shard: about 18 MB at 350 bytes each (docs/CAPACITY.md). Chosen, not measured.
    static constexpr size_t defaultMaxWaiting = 50'000;
    size_t maxWaiting { defaultMaxWaiting };
    bool preemption { true };
};

// The one queue and slot ledger of a shard of upstreams. It decides in strict order of tiers who runs, who waits, who
// is refused and who is paused:
//
// 1. A free slot goes to the highest tier that waits; within a tier, to the flow that is furthest behind.
// 2. While a higher tier waits and nothing is free, the lowest preemptible running request is paused.
// 3. When the queue is full, a waiting request of the lowest tier is refused first.
// 4. A class that has waited past its bound may use the guaranteed slots, whatever the higher tiers do.
// 5. A request that cannot get a slot before its deadline is refused on arrival, with the time to come back.
//
// Each call appends its decisions to the caller's list.
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

    // A request wants a slot. An ask with a known id is a repeat and changes nothing; when
    // that request was granted already, the grant is told again.
    void ask(const Ask&, TimePoint now, Decisions&);
    // A request that already runs, told again after the shard came here from another home.
    void restore(const Ask&, std::string_view upstream, bool guaranteed, TimePoint now);
    // A slot is given back, or a waiting request is withdrawn.
    void release(const Release&, TimePoint now);
    // Until this time only tier 0 is granted: the other entries are still telling what runs.
    void setCollectionEnd(TimePoint time) { m_collectionEnd = time; }

    // Grants, refuses and preempts until nothing more can be decided at this time.
    void decide(TimePoint now, Decisions&);

    // All requests of an entry that is gone.
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
        std::list<WaitingRequest*> waiting; // In order of arrival here.
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
    // How long a new request of the class waits until its guaranteed slot serves it, whatever higher tiers ask for.
    // `slotSeconds`: of one request, in seconds of a slot.
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
    // Requests that may be paused, by start: the one that started last has the least to lose.
    std::array<std::set<RunningKey>, tierCount> m_preemptible;
    std::array<size_t, tierCount> m_runningByTier {};
    uint32_t m_guaranteedInUse { 0 };
    uint32_t m_preempting { 0 };
    TimePoint m_collectionEnd {};
};

} // namespace Brassladder::ClassServing::Scheduling
