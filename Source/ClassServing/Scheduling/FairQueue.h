// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Scheduling/Types.h"

#include <list>
#include <map>
#include <set>
#include <unordered_map>

namespace Brassladder::ClassServing::Scheduling {

struct WaitingRequest;

// The waiting requests of one class and workspace in one tier, in order of arrival.
struct Flow {
    uint64_t key { 0 };
    double weight { 1 };
    double virtualTime { 0 }; // In slot-seconds divided by weight.
    std::list<WaitingRequest*> queue;
};

// A request that waits for a slot. Stores its positions in all queues, so it is removed without a search.
struct WaitingRequest {
    Ask ask;
    TimePoint deadline;
    double slotSeconds { 0 }; // Expected value, as included in the sum of the tier.
    uint64_t flowKey { 0 };
    Flow* flow { nullptr };
    std::list<WaitingRequest*>::iterator inFlow;
    std::list<WaitingRequest*>::iterator inClass;
    std::multimap<TimePoint, WaitingRequest*>::iterator inDeadlines; // Valid while `flow` is set.
};

// Start-time fair queueing between the flows of one tier. A served request advances the virtual time of its flow by
// its expected slot-seconds divided by the weight. The flow with the lowest virtual time is served next. Logarithmic
// in the number of active flows, except lastOfLongestFlow, which is linear. Not thread-safe.
class FairQueue {
public:
    void push(WaitingRequest&);
    void remove(WaitingRequest&);
    // Returns the next request without removing it, or nullptr.
    WaitingRequest* front() const;
    // Returns the last request of the flow with the most waiting requests, or nullptr. It is evicted if the queue is
    // full.
    WaitingRequest* lastOfLongestFlow() const;
    // Removes the request and charges its flow.
    void serve(WaitingRequest&);
    // Adjusts the charge of a flow when the actual slot-seconds of a request are known.
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
