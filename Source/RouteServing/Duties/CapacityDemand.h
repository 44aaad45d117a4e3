// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <deque>
#include <optional>

namespace Brassladder::RouteServing::Duties {

// Outstanding work of all routers at the engines of one service, as reported to the holder of the duties.
struct EngineLoad {
    double decodeHeavy { 0 }; // Generations that run on engines reserved for long responses.
    // Sum over the requests that wait for their first event of their prompt tokens divided by their route's objective
    // in seconds, so that tokens with a short objective count more than those with a long one.
    double prefillRate { 0 };
    double millisecondsPerToken { 0 }; // Estimated prefill time per token; 0 if unknown.
    unsigned batch { 1 }; // Generations that an engine runs concurrently.
    double requests { 0 }; // All outstanding generations; each of them takes a slot of an engine.
};

// Number of engines that a service needs.
struct CapacityNeed {
    unsigned sustained { 0 }; // To meet the objective under the sustained load.
    unsigned withHeadroom { 0 }; // With headroom for bursts that end before another engine has booted.
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
// them. The need with headroom is the recent maximum of the required engines, multiplied by the inverse square root of
// the spot price, within bounds. The sustained need is the recent minimum, which excludes bursts: on-demand engines
// that are ordered during a burst would start to serve after its end, and then take the place of cheaper spot engines.
//
// Until the load has been observed for a few seconds, both needs equal the initial number of serving engines. During
// the first minute of observation, the need with headroom does not fall below that number; otherwise a new holder could
// release engines too early. Not thread-safe.
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

    double m_headroom;
    std::deque<Sample> m_samples;
    RequiredEngines m_smoothed;
    unsigned m_servingEngines { 0 };
    std::optional<Common::TimePoint> m_servingEnginesSince;
    std::optional<unsigned> m_initialEngines; // Serving engines when their number first became stable.
    std::optional<Common::TimePoint> m_firstLoadAt;
};

} // namespace Brassladder::RouteServing::Duties
