// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/EnginePlacement.h"

#include "Common/Digest.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// A decoded token costs an engine about as much as this many prefilled ones: it needs a step of its own. Chosen, not
// measured.
static constexpr uint64_t prefillTokensPerDecodedToken = 10;
// Decode-heavy generations use an engine up to this share of its batch before they go to the next one. Chosen, not
// measured on its own; keeping the two kinds apart took cantabrica-brass scale-1 from a worth of 0.680 to 0.868
// (docs/MEASUREMENTS.md).
static constexpr double decodeShareOfBatch = 0.5;
// They fill their own half of the engines up to this share before they use the engines of prefill-heavy generations: a
// fuller batch decodes a little slower, while a prefill beside it stops it for several steps. Half at all times left
// 1,250 long responses late on Cantabrica's grown scale-2, three quarters at all times broke TIER there
// (docs/DESIGN.md, trials).
static constexpr double fullDecodeShareOfBatch = 0.9;
// Engines are reserved for this many times the known decode-heavy generations, because new ones begin before reports of
// them arrive. Chosen, not measured.
static constexpr double decodeHeadroom = 1.25;
// Engines stay reserved this long after they were last needed, so that they are not filled with prompts in a short
// lull. Chosen, not measured.
static constexpr Common::Milliseconds decodeEnginesMemory = 3000ms;
// What one running request costs a new prompt, in prefill tokens: it lengthens each step of the batch a little. Chosen,
// not measured.
static constexpr double prefillTokensPerRunning = 30;
// A shared prefix that is prefilled again costs this many times its tokens: it delays the prefills behind it and evicts
// another cached prefix. Measured on the grown scale-1: worth 0.667 with 4, 0.789 with 10, 0.802 with 30
// (docs/DESIGN.md, trials).
static constexpr double repeatedPrefillFactor = 10;
// What a token costs that an engine fetches from the prefix cache of another one, in prefill tokens. The transfer
// itself takes 0.02 to 0.15 of a prefill by the links and speeds of the users' sites; the rest is for prefixes that the
// other engine has evicted, which are prefilled all the same. Chosen, not measured on its own.
static constexpr double fetchedTokenCost = 0.2;
// The cost at an outlier is multiplied by this. Chosen, not measured.
static constexpr double outlierCostFactor = 5;

bool EnginePlacement::isDecodeHeavy(const Prompt& prompt)
{
    return prompt.maxOutputTokens * prefillTokensPerDecodedToken >= prompt.tokens;
}

static std::vector<size_t> fixedOrder(std::span<const EngineState> engines)
{
    std::vector<size_t> order(engines.size());
    std::iota(order.begin(), order.end(), 0);
    std::vector<uint64_t> rank;
    for (const auto& engine : engines)
        rank.push_back(Common::stableHash(engine.id));
    std::sort(order.begin(), order.end(), [&](size_t a, size_t b) { return rank[a] < rank[b]; });
    return order;
}

// Power of two choices: load reports lag by up to one exchange interval, so always picking the least loaded engine
// would make all routers pick the same one.
static size_t pickDecodeEngine(std::span<const EngineState> engines, std::span<const size_t> reserved)
{
    auto draw = [&] { return reserved[Common::randomNumber() % reserved.size()]; };
    size_t a = draw();
    size_t b = draw();
    if (engines[a].isOutlier != engines[b].isOutlier)
        return engines[a].isOutlier ? b : a;
    return engines[a].running <= engines[b].running ? a : b;
}

// The engine that should have the prompt's shared prefix cached, by rendezvous hashing; none without a shared prefix.
static std::optional<size_t> cacheHome(
    const Prompt& prompt, std::span<const EngineState> engines, std::span<const size_t> offered)
{
    const auto* prefix = prompt.sharedPrefix();
    if (!prefix)
        return std::nullopt;
    std::optional<size_t> home;
    uint64_t homeScore = 0;
    for (size_t index : offered) {
        auto score = Common::stableHash(engines[index].id, prefix->id);
        if (!home || score > homeScore) {
            home = index;
            homeScore = score;
        }
    }
    return home;
}

// The engine with the lowest cost, in prefill tokens until the new prompt is done.
static EnginePlacementResult pickPrefillEngine(const Prompt& prompt, std::span<const EngineState> engines,
    std::span<const size_t> offered, const EngineLimits& limits)
{
    auto home = cacheHome(prompt, engines, offered);
    double repeatedShare = limits.fetchesKvCache ? fetchedTokenCost : 1;
    double shared = std::min(prompt.tokens, prompt.sharedTokens());
    EnginePlacementResult best;
    double bestCost = std::numeric_limits<double>::max();
    for (size_t index : offered) {
        const auto& engine = engines[index];
        bool isCached = index == home;
        double repeated = isCached ? 0 : shared * repeatedShare;
        double prefill = prompt.tokens - shared + repeated;
        double cost = prefill + repeated * (repeatedPrefillFactor - 1) + engine.prefillTokens
            + prefillTokensPerRunning * engine.running;
        if (engine.isOutlier)
            cost *= outlierCostFactor;
        if (cost < bestCost) {
            best = { index, static_cast<uint64_t>(prefill), static_cast<uint64_t>(engine.prefillTokens),
                isCached || !limits.fetchesKvCache ? std::nullopt : home };
            bestCost = cost;
        }
    }
    return best;
}

std::optional<EnginePlacementResult> EnginePlacement::place(
    const Prompt& prompt, std::span<const EngineState> engines, const EngineLimits& limits, Common::TimePoint now)
{
    if (engines.empty())
        return std::nullopt;
    auto order = fixedOrder(engines);
    auto needed = updateDecodeEngines(engines, limits.batch, now);
    if (isDecodeHeavy(prompt)) {
        auto reserved = std::max<size_t>(1, needed);
        // This generation counts from now on.
        m_decodeEngines = std::max(m_decodeEngines, reserved);
        m_decodeEnginesAt = now;
        auto index = pickDecodeEngine(engines, std::span(order).first(reserved));
        return EnginePlacementResult { index, prompt.tokens, static_cast<uint64_t>(engines[index].prefillTokens),
            std::nullopt };
    }
    // Prefill-heavy generations always have at least half of the engines.
    auto reserved = std::min(needed, engines.size() / 2);
    return pickPrefillEngine(prompt, engines, std::span(order).subspan(reserved), limits);
}

// How many engines decode-heavy generations need now: half batches on up to half of the engines, then nearly full ones
// before any engine beyond that half.
static size_t decodeEnginesNeeded(std::span<const EngineState> engines, unsigned batch)
{
    double decodeHeavy = 0;
    for (const auto& engine : engines)
        decodeHeavy += engine.decodeHeavy;
    if (decodeHeavy <= 0)
        return 0;
    auto enginesAt = [&](double share) {
        return 1 + static_cast<size_t>(decodeHeavy * decodeHeadroom / std::max(1.0, batch * share));
    };
    auto withinHalf = std::min(enginesAt(decodeShareOfBatch), engines.size() / 2);
    return std::min(std::max(withinHalf, enginesAt(fullDecodeShareOfBatch)), engines.size());
}

// The most that was needed within the last seconds.
size_t EnginePlacement::updateDecodeEngines(std::span<const EngineState> engines, unsigned batch, Common::TimePoint now)
{
    auto needed = decodeEnginesNeeded(engines, batch);
    bool isForgotten = now - m_decodeEnginesAt >= decodeEnginesMemory;
    if (needed >= m_decodeEngines || isForgotten) {
        m_decodeEngines = needed;
        m_decodeEnginesAt = now;
    }
    return std::min(m_decodeEngines, engines.size());
}

} // namespace Brassladder::RouteServing::Routing
