// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/EngineCost.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

// Cost that each running request adds for a new prompt, in prefill tokens: it slightly lengthens each step of the
// batch, and the prefill lengthens its pauses.
static constexpr double prefillTokensPerRunningRequest = 30;
// Cost factor of an outlier.
static constexpr double outlierCostFactor = 5;
// Fewest output tokens that a generation with a slot is expected to decode: a short response waits behind long ones.
static constexpr double minOutputTokensAhead = 128;

static double expectedOutputTokens(const Prompt& prompt)
{
    return prompt.outputHint ? std::min(prompt.outputHint, prompt.maxOutputTokens) : prompt.maxOutputTokens;
}

EngineCost::EngineCost(const Prompt& prompt, const ServicePace& pace, unsigned batch)
    : m_batch(batch)
{
    if (pace.millisecondsPerPrefillToken > 0)
        m_millisecondsPerPrefillToken = pace.millisecondsPerPrefillToken;
    auto millisecondsPerDecodedToken = pace.millisecondsPerDecodedToken > 0
        ? pace.millisecondsPerDecodedToken
        : prefillTokensPerDecodedToken * m_millisecondsPerPrefillToken;
    auto outputTokens = expectedOutputTokens(prompt);
    m_slotCost = millisecondsPerDecodedToken * outputTokens / std::max(1.0, m_batch);
    m_slotMilliseconds = millisecondsPerDecodedToken * std::max(outputTokens, minOutputTokensAhead);
}

// The generations that have a slot are expected to take as long as this one. They started at different times, so their
// slots become free one after the other.
double EngineCost::slotWait(const EngineState& engine, const ExpectedPrefill& prefill) const
{
    if (!isFull(engine))
        return 0;
    double time = m_millisecondsPerPrefillToken * prefill.tokens + m_slotMilliseconds;
    return time * (engine.running - m_batch + 1) / m_batch;
}

double EngineCost::ofPrefillHeavy(const EngineState& engine, const ExpectedPrefill& prefill) const
{
    double tokens = prefill.tokens + engine.prefillTokens + prefillTokensPerRunningRequest * engine.running;
    // A prefix that the copy evicts is prefilled again at any engine, so the pace of this one does not matter.
    double evictionTokens = prefill.repeatedTokens * (prefill.repeatedFactor - 1);
    double delay = m_millisecondsPerPrefillToken * (engine.slowdown * tokens + evictionTokens);
    if (engine.isOutlier)
        delay *= outlierCostFactor;
    return delay + engine.slowdown * (m_slotCost + slotWait(engine, prefill));
}

} // namespace Brassladder::RouteServing::Routing
