// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Scheduling/FairQueue.h"
#include "ClassServing/Scheduling/Types.h"

#include <array>
#include <string_view>
#include <unordered_map>

namespace Brassladder::ClassServing::Scheduling {

// Nobody knows in advance how long an answer will be. This keeps a moving average, by class, of how long a request
// holds its slot, and predicts from it how long a new request would wait.
class WaitEstimator {
public:
    // Expected slot-seconds of a request of the class.
    double expectedSlotSeconds(const ClassPolicy&) const;
    void observe(const ClassPolicy&, Duration held);

    // Counts work that arrives in a tier, for the share that higher tiers will go on taking.
    void recordArrival(Tier, double slotSeconds, TimePoint now);

    // The time that a request of the flow would wait behind what stands in `tiers`, given `capacity` slots. Within its
    // tier a flow waits for the smaller of the whole queue and its own queue times the number of flows that share.
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
