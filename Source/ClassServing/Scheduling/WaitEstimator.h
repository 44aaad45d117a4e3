// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Scheduling/FairQueue.h"
#include "ClassServing/Scheduling/Types.h"

#include <array>
#include <string_view>
#include <unordered_map>

namespace Brassladder::ClassServing::Scheduling {

// Predicts how long a new request would wait for a slot. Maintains a moving average of the slot time per class,
// because the length of a response is not known in advance. Not thread-safe.
class WaitEstimator {
public:
    // Returns the mean slot time of a request of the class, in seconds, or a default before the first observation.
    double expectedSlotSeconds(const ClassPolicy&) const;
    void observe(const ClassPolicy&, Duration held);

    // Records expected slot-seconds that arrive in a tier. Their rate determines the capacity that remains for lower
    // tiers.
    void recordArrival(Tier, double slotSeconds, TimePoint now);

    // Returns the expected wait of a new request of the flow: the slot-seconds that are served before it, divided by
    // the part of the `capacity` slots that the arrivals of higher tiers leave. Before it are served the queues of all
    // higher tiers, and of its own tier the whole queue or the queue of the flow times the number of active flows,
    // whichever is smaller.
    Duration expectedWait(const std::array<FairQueue, tierCount>& tiers, Tier, uint64_t flowKey, double slotSecondsEach,
        double capacity, TimePoint now) const;

private:
    struct Rate {
        double perSecond { 0 };
        TimePoint updated {};
    };
    double decayed(const Rate&, TimePoint now) const;

    std::unordered_map<std::string, double> m_meanSlotSeconds;
    std::array<Rate, tierCount> m_arrivals;
};

} // namespace Brassladder::ClassServing::Scheduling
