// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <deque>
#include <optional>

namespace Brassladder::RouteServing::Duties {

// Outstanding work of all routers at the engines of one service, as reported to the holder of the duties.
struct EngineLoad {
    double decodeHeavy { 0 }; // Generations whose decode takes longer than their prefill.
    // Sum over the requests that wait for their first event of their prompt tokens divided by their route's objective
    // in seconds, so that tokens with a short objective count more than those with a long one.
    double prefillRate { 0 };
    double millisecondsPerToken { 0 }; // Estimated prefill time per token; 0 if unknown.
    unsigned batch { 1 }; // Generations that an engine runs concurrently.
};

// Number of engines that a service needs.
struct CapacityNeed {
    unsigned sustained { 0 }; // To meet the objectives under the sustained load.
    // For the peaks that were seen, also if one failure domain loses its spot engines.
    unsigned withHeadroom { 0 };
    // For a burst larger than the peaks that were seen, as long as no failure domain loses its spot engines.
    unsigned unseenBurst { 0 };
    // Minimum of both kinds together while the load has not been observed long enough. On-demand engines are kept for
    // it until spot engines serve in their place, but none are added.
    unsigned initial { 0 };
    bool operator==(const CapacityNeed&) const = default;
};

// Engines that a load requires without headroom, by the work that they do.
struct RequiredEngines {
    double prefill { 0 };
    double decode { 0 };

    double total() const { return prefill + decode; }
};

// Computes how many engines a service needs from its outstanding work.
//
// Bursts begin within a second and end before another engine has booted, so only engines that already serve can absorb
// them. The need with headroom is the largest load of the last minute, within a bound relative to the usual load. A
// burst that is larger than what was seen is covered up to a factor of the usual load, which is lower if spot engines
// are expensive. The sustained need is the recent minimum, which excludes bursts: on-demand engines that are ordered
// during a burst would start to serve after its end, and then take the place of cheaper spot engines.
//
// Until the load has been observed for a few seconds, both kinds of engines together stay at the initial number of
// serving engines. That number remains a minimum until a burst would have appeared, and then falls linearly to zero, so
// that the load on the remaining engines is seen before more of them are released. Not thread-safe.
class CapacityDemand {
public:
    // `spotPrice`: price of a spot engine relative to an on-demand engine.
    explicit CapacityDemand(double spotPrice);

    // `servingEngines`: number of engines that serve now.
    void observe(const EngineLoad&, unsigned servingEngines, Common::TimePoint now);
    // Returns nullopt until the number of serving engines has become stable. No engines may be ordered until then.
    std::optional<CapacityNeed> need(Common::TimePoint now) const;

    // Returns the engines that the load requires, smoothed over the last observations.
    const RequiredEngines& required() const { return m_smoothed; }

    // Returns the engines that the load requires.
    static RequiredEngines enginesFor(const EngineLoad&);

private:
    struct Sample {
        Common::TimePoint at;
        double engines { 0 };
    };

    unsigned initialMinimum(Common::TimePoint now) const;
    double usualLoad() const;

    double m_unseenBurstFactor;
    std::deque<Sample> m_samples;
    RequiredEngines m_smoothed;
    Common::TimePoint m_nextSampleAt {};
    unsigned m_servingEngines { 0 };
    std::optional<Common::TimePoint> m_servingEnginesSince;
    std::optional<unsigned> m_initialEngines; // Serving engines when their number first became stable.
    std::optional<Common::TimePoint> m_firstLoadAt;
};

} // namespace Brassladder::RouteServing::Duties
