// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/EnginePlacement.h"

#include "Common/Digest.h"
#include "RouteServing/Routing/PrefixRanking.h"

#include <algorithm>
#include <limits>

namespace Brassladder::RouteServing::Routing {

// Share of the shortest pause bound that the prefill of one decode-heavy generation may take. Two such prompts between
// two events take half of the bound, and decoding takes the other half.
static constexpr double prefillShareOfMaxPause = 0.25;
// Cost factor of prefilling a shared prefix again at an engine that keeps a copy of it when the first one is busy: the
// prefill delays those queued behind it, and the prefix evicts another one. On a heavy day of a large deployment, the
// value served was 0.667 with 4, 0.789 with 10 and 0.802 with 30 (docs/DESIGN.md).
static constexpr double copyPrefillFactor = 10;
// The same at any other engine. It is higher, because the copy is hardly ever used again there: more waiting at the
// engines that keep copies costs less than another copy.
static constexpr double strayPrefillFactor = 15;

// All tokens of the prompt count, because decode-heavy generations are not placed by prefix.
static bool fitsIntoPauses(const Prompt& prompt, const EngineCapabilities& capabilities)
{
    if (capabilities.shortestMaxPause.count() <= 0)
        return true;
    auto longest = prefillShareOfMaxPause * static_cast<double>(capabilities.shortestMaxPause.count());
    return prompt.tokens * capabilities.pace.millisecondsPerPrefillToken <= longest;
}

static bool hasLongResponse(const Prompt& prompt)
{
    return prompt.maxOutputTokens * prefillTokensPerDecodedToken >= prompt.tokens;
}

bool EnginePlacement::isDecodeHeavy(const Prompt& prompt, const EngineCapabilities& capabilities)
{
    return hasLongResponse(prompt) && fitsIntoPauses(prompt, capabilities);
}

// Selects by power of two choices: load reports lag by up to one exchange interval, so always picking the least loaded
// engine would make all routers pick the same one. An engine with a free slot goes first, also if it is slower: the
// others may be fuller than the reports state.
static size_t pickDecodeEngine(
    std::span<const EngineState> engines, std::span<const size_t> reserved, const EngineCost& cost)
{
    auto draw = [&] { return reserved[Common::randomNumber() % reserved.size()]; };
    size_t a = draw();
    size_t b = draw();
    if (engines[a].isOutlier != engines[b].isOutlier)
        return engines[a].isOutlier ? b : a;
    if (cost.isFull(engines[a]) != cost.isFull(engines[b]))
        return cost.isFull(engines[a]) ? b : a;
    return EngineCost::ofDecodeHeavy(engines[a]) <= EngineCost::ofDecodeHeavy(engines[b]) ? a : b;
}

// Ranks the offered engines for the prompt's shared prefix.
static PrefixRanking rankForPrefix(
    const Prompt& prompt, std::span<const EngineState> engines, std::span<const size_t> offered)
{
    const auto* prefix = prompt.sharedPrefix();
    return prefix ? PrefixRanking(prefix->id, engines, offered) : PrefixRanking();
}

// Returns the engine with the lowest cost. A prefix that can be fetched from another engine costs as much as one that
// is prefilled again, because the other engine has often evicted it.
static EnginePlacementResult pickPrefillEngine(const Prompt& prompt, std::span<const EngineState> engines,
    std::span<const size_t> offered, const EngineCost& engineCost, bool fetchesKvCache)
{
    auto ranking = rankForPrefix(prompt, engines, offered);
    auto cacheEngine = ranking.first();
    double shared = std::min(prompt.tokens, prompt.sharedTokens());
    EnginePlacementResult best;
    double bestCost = std::numeric_limits<double>::max();
    auto consider = [&](size_t index, double factor) {
        bool isCached = index == cacheEngine;
        double repeated = isCached ? 0 : shared;
        double prefill = prompt.tokens - shared + repeated;
        double cost = engineCost.ofPrefillHeavy(engines[index], { prefill, repeated, factor });
        if (cost >= bestCost)
            return;
        best.index = index;
        best.prefillTokens = static_cast<uint64_t>(prefill);
        best.queuedPrefillTokens = static_cast<uint64_t>(engines[index].prefillTokens);
        best.prefixSource = isCached || !fetchesKvCache ? std::nullopt : cacheEngine;
        bestCost = cost;
    };
    // Among engines of equal cost, the first one in rank is taken.
    for (size_t index : ranking.engines())
        consider(index, copyPrefillFactor);
    for (size_t index : offered) {
        if (!ranking.contains(index))
            consider(index, strayPrefillFactor);
    }
    return best;
}

EnginePlacementResult EnginePlacement::placeDecodeHeavy(const Prompt& prompt, std::span<const EngineState> engines,
    std::span<const size_t> reserved, const EngineCost& cost, Common::TimePoint now)
{
    m_reservation.recordDecodeHeavy(now);
    EnginePlacementResult result;
    result.isDecodeHeavy = true;
    result.index = pickDecodeEngine(engines, reserved, cost);
    result.prefillTokens = prompt.tokens;
    result.queuedPrefillTokens = static_cast<uint64_t>(engines[result.index].prefillTokens);
    return result;
}

std::optional<EnginePlacementResult> EnginePlacement::place(const Prompt& prompt, std::span<const EngineState> engines,
    const EngineCapabilities& capabilities, Common::TimePoint due, Common::TimePoint now, double knownShare,
    std::optional<bool> isDecodeHeavy)
{
    if (engines.empty())
        return std::nullopt;
    auto order = m_order.of(engines);
    auto reserved = m_reservation.reserve(engines, order, capabilities.batch, knownShare, now);
    EngineCost cost(prompt, capabilities.pace, capabilities.batch);
    bool isDecodeHeavyPrompt = isDecodeHeavy.value_or(EnginePlacement::isDecodeHeavy(prompt, capabilities));
    auto result = isDecodeHeavyPrompt
        ? placeDecodeHeavy(prompt, engines, order.first(std::max<size_t>(1, reserved.forDecodeHeavy)), cost, now)
        : pickPrefillEngine(
            prompt, engines, order.subspan(reserved.withoutPrefillHeavy), cost, capabilities.fetchesKvCache);
    auto tokensBeforeFirstEvent = static_cast<double>(result.queuedPrefillTokens + result.prefillTokens);
    result.expectedFirstEvent = engines[result.index].firstEvent.delayFor(tokensBeforeFirstEvent);
    if (!isDecodeHeavyPrompt && now + result.expectedFirstEvent > due) {
        if (!hasLongResponse(prompt))
            result.punctuality = Punctuality::Late;
        m_reservation.recordLatePrefill(now);
    }
    return result;
}

} // namespace Brassladder::RouteServing::Routing
