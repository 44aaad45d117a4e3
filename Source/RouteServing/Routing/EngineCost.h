// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/EnginePaces.h"
#include "RouteServing/Routing/EngineState.h"
#include "RouteServing/Routing/Prompt.h"

namespace Brassladder::RouteServing::Routing {

// Cost of one decoded token in prefill tokens, while the pace of decoding is unknown: each decoded token needs a step
// of its own.
constexpr uint64_t prefillTokensPerDecodedToken = 10;

// The prefill that a generation is expected to need at one engine.
struct ExpectedPrefill {
    double tokens { 0 }; // Excludes the prefix that is expected to be cached.
    double repeatedTokens { 0 }; // Of these, the tokens of a shared prefix that another engine has cached.
    double repeatedFactor { 1 }; // Cost of a repeated token, relative to another one.
};

// Computes what one generation costs at the engines of a service, in milliseconds at the pace of each engine. While the
// pace of the service is unknown, only the ratio of the costs has a meaning. Pure.
class EngineCost {
public:
    // `batch` is the number of requests that one engine runs at once; 0 if unknown.
    EngineCost(const Prompt&, const ServicePace&, unsigned batch);

    // Returns the expected delay of a prefill-heavy generation and of those that it delays.
    double ofPrefillHeavy(const EngineState&, const ExpectedPrefill&) const;

    // Returns the time of a decode-heavy generation relative to an idle engine of average pace. The generations in a
    // batch share the engine's steps.
    static double ofDecodeHeavy(const EngineState& engine) { return engine.slowdown * (engine.running + 1); }

    // Whether a new generation waits for a slot.
    bool isFull(const EngineState& engine) const { return m_batch > 0 && engine.running >= m_batch; }

private:
    // Returns the wait for a slot; zero if the batch has room.
    double slotWait(const EngineState&, const ExpectedPrefill&) const;

    double m_batch { 0 };
    double m_millisecondsPerPrefillToken { 1 };
    double m_slotCost { 0 }; // Milliseconds of the decode, as a share of the batch.
    double m_slotMilliseconds { 0 }; // Time that a generation with a slot decodes.
};

} // namespace Brassladder::RouteServing::Routing
