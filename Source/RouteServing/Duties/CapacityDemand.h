// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <deque>
#include <optional>

namespace Brassladder::RouteServing::Duties {

// What all routers have outstanding at the engines of one service, as its holder of the duties hears it.
struct EngineLoad {
    double decodeHeavy { 0 }; // Generations whose decoding takes longer than their prefill.
    double prefillTokens { 0 }; // Of prompts that wait for their first event.
    double millisecondsPerToken { 0 }; // Of prefill, as learned; 0 while nothing is known.
    unsigned batch { 1 }; // Generations that one engine runs at once.
    Common::Milliseconds objective { 0 }; // The shortest time until a first event that a route promises.
};

// Engines that a service needs.
struct CapacityNeed {
    unsigned sustained { 0 }; // So that prompts begin in time, under the load that lasts.
    unsigned withHeadroom { 0 }; // With headroom for bursts that are over before another engine has booted.
    bool operator==(const CapacityNeed&) const = default;
};

// How many engines a service needs, from the work that is outstanding.
//
// Bursts of two to three times a class's traffic begin within a second and are over before another engine has booted,
// so only engines that stand already serve them. How many may stand idle follows from their price: the headroom is the
// inverse of the price's square root, so that it doubles where an engine costs a quarter, within bounds. The most that
// was needed lately counts for it. What lasts is the least of the last seconds: engines on demand that were ordered in
// each burst came when it was over, and took the room of the spot engines that served it (worth 0.508 against 0.774 on
// a quiet day, 0.505 against 0.747 on a heavy one, trials).
//
// While no load has been seen, what stood first is needed, and for a minute after that nothing less: a
// new holder that went by its first seconds alone gave back 10 of 39 spot engines of a domain, and ordered them again
// (a day on 88 routers). Not safe for several threads.
class CapacityDemand {
public:
    // `spotPrice`: of an engine that carries the headroom, as a share of one on demand.
    explicit CapacityDemand(double spotPrice);

    // `servingEngines`: engines that serve now.
    void observe(const EngineLoad&, unsigned servingEngines, Common::TimePoint now);
    // None before what stands is settled: nothing is ordered then.
    std::optional<CapacityNeed> need(Common::TimePoint now) const;

    // Engines for the load, without headroom.
    static double enginesFor(const EngineLoad&);

private:
    struct Sample {
        Common::TimePoint at;
        double engines { 0 };
    };

    double m_headroom;
    std::deque<Sample> m_samples;
    double m_smoothed { 0 };
    unsigned m_servingEngines { 0 };
    std::optional<Common::TimePoint> m_servingEnginesSince;
    std::optional<unsigned> m_initialEngines; // What stood when it had settled first.
    std::optional<Common::TimePoint> m_firstLoadAt;
};

} // namespace Brassladder::RouteServing::Duties
