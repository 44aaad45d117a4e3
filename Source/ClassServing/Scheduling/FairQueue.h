// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Scheduling/Types.h"

#include <list>
#include <map>
#include <set>
#include <unordered_map>

namespace Brassladder::ClassServing::Scheduling {

struct WaitingRequest;

// The requests of one class and one workspace that wait in one tier, in order of arrival.
struct Flow {
    uint64_t key { 0 };
    double weight { 1 };
    double virtualTime { 0 }; // In slot-seconds over weight.
    std::list<WaitingRequest*> queue;
};

// A request that waits for a slot, with its places in the queues that hold it, so that it can leave all at once.
struct WaitingRequest {
    Ask ask;
    TimePoint deadline;
    double slotSeconds { 0 }; // Expected slot-seconds, as counted into the tier's sum.
    uint64_t flowKey { 0 };
    Flow* flow { nullptr };
    std::list<WaitingRequest*>::iterator inFlow;
    std::list<WaitingRequest*>::iterator inClass;
    std::multimap<TimePoint, WaitingRequest*>::iterator inDeadlines; // Valid while `flow` is set.
};

// Start-time fair queueing between the flows of one tier: each flow advances on a virtual clock by the work it was
// given over its weight, and the flow that is furthest behind goes next. Logarithmic in the number of active flows.
class FairQueue {
public:
    void push(WaitingRequest&);
    void remove(WaitingRequest&);
    // The next request in turn, or null. It stays in the queue.
    WaitingRequest* front() const;
    // The last request of the flow with the most waiting work, or null: the one to give up when room must be made.
    WaitingRequest* lastOfLongestFlow() const;
    // Takes the request out and charges its flow.
    void serve(WaitingRequest&);
    // Corrects a flow's charge once the true work is known.
    void adjustCharge(uint64_t flowKey, double slotSecondsDifference);

    bool isEmpty() const { return m_active.empty(); }
    size_t size() const { return m_size; }
    size_t activeFlows() const { return m_active.size(); }
    double slotSeconds() const { return m_slotSeconds; }
    size_t flowLength(uint64_t flowKey) const;

    static uint64_t flowKey(const Ask&);

private:
    using ActiveKey = std::pair<double, uint64_t>;
    void evictIdleFlows();

    std::unordered_map<uint64_t, Flow> m_flows;
    std::set<ActiveKey> m_active;
    double m_virtualNow { 0 };
    double m_slotSeconds { 0 };
    size_t m_size { 0 };
};

} // namespace Brassladder::ClassServing::Scheduling
