// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Scheduling/WaitEstimator.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::ClassServing::Scheduling {

// Expected slot time of a class before its first response.
// Affects only the first decisions.
static constexpr double initialSlotSeconds = 0.25;
// Weight of a new sample in the moving average of a class.
// About the last twenty responses count.
static constexpr double sampleWeight = 0.1;
// Time constant of the moving average of the arrival rate.
// Shorter than a burst and longer than the gap between two requests.
static constexpr double arrivalTimeConstantSeconds = 5;
// Upper bound of the capacity share attributed to higher tiers. Without it, a short burst would cause
// the refusal of all requests of lower tiers.
static constexpr double maxHigherTierShare = 0.9;

double WaitEstimator::expectedSlotSeconds(const ClassPolicy& policy) const
{
    auto found = m_meanSlotSeconds.find(policy.name);
    return found == m_meanSlotSeconds.end() ? initialSlotSeconds : found->second;
}

void WaitEstimator::observe(const ClassPolicy& policy, Duration held)
{
    double seconds = Common::toSeconds(held);
    auto [place, isNew] = m_meanSlotSeconds.try_emplace(policy.name, seconds);
    if (!isNew)
        place->second += sampleWeight * (seconds - place->second);
}

double WaitEstimator::decayed(const Rate& rate, TimePoint now) const
{
    double age = std::max(0.0, Common::toSeconds(now - rate.updated));
    return rate.perSecond * std::exp(-age / arrivalTimeConstantSeconds);
}

void WaitEstimator::recordArrival(Tier tier, double slotSeconds, TimePoint now)
{
    Rate& rate = m_arrivals[tier];
    rate.perSecond = decayed(rate, now) + slotSeconds / arrivalTimeConstantSeconds;
    rate.updated = now;
}

Duration WaitEstimator::expectedWait(const std::array<FairQueue, tierCount>& tiers, Tier tier, uint64_t flowKey,
    double slotSecondsEach, double capacity, TimePoint now) const
{
    double ahead = 0;
    double higherRate = 0;
    for (Tier higher = 0; higher < tier; ++higher) {
        ahead += tiers[higher].slotSeconds();
        higherRate += decayed(m_arrivals[higher], now);
    }
    const FairQueue& own = tiers[tier];
    double flowSlotSeconds = static_cast<double>(own.flowLength(flowKey)) * slotSecondsEach;
    ahead += std::min(own.slotSeconds(), flowSlotSeconds * static_cast<double>(std::max<size_t>(1, own.activeFlows())));
    if (capacity < 1)
        capacity = 1;
    double share = 1 - std::min(maxHigherTierShare, higherRate / capacity);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ahead / (capacity * share)));
}

} // namespace Brassladder::ClassServing::Scheduling
