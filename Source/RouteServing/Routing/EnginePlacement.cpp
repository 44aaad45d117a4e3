// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/EnginePlacement.h"

#include "Common/Digest.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// A token that is written takes an engine about as long as ten that are read: it needs a step of its own.
static constexpr uint64_t readTokensPerWrittenToken = 10;
// Writers use an engine up to this share of its batch before they go to the next.
static constexpr double writerShareOfBatch = 0.5;
// Before writers go to more than half of the engines, where readers are, they fill theirs up to this share: a fuller
// batch writes a little slower, a prompt that is read beside it stops it for several of its steps.
static constexpr double fullWriterShareOfBatch = 0.9;
// Engines are kept for so many times the writers that are known: for those that begin before the word is told on.
static constexpr double writerHeadroom = 1.25;
// For so long after the last writer, readers leave its engine alone.
static constexpr Common::Milliseconds writerMemory = 3000ms;
// What one running request costs a new prompt, in prompt tokens: it lengthens each step of the batch a little.
static constexpr double runningTokens = 30;
// A shared part that is read anew costs so many times its tokens: it holds up all that is read there after it, and
// takes the place of another kept part.
static constexpr double rereadFactor = 10;
// A suspicious engine is taken as if so many times the cost awaited there.
static constexpr double suspicionFactor = 5;

bool EnginePlacement::isDecodeHeavy(const Prompt& prompt)
{
    return prompt.maxOutputTokens * readTokensPerWrittenToken >= prompt.tokens;
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

// Two by chance, and the one with less to do: what routers know of each other is a moment old, and all would otherwise
// choose the same engine in that moment.
static size_t pickWriterEngine(std::span<const EngineState> engines, std::span<const size_t> first)
{
    auto draw = [&] { return first[Common::randomNumber() % first.size()]; };
    size_t a = draw();
    size_t b = draw();
    if (engines[a].isOutlier != engines[b].isOutlier)
        return engines[a].isOutlier ? b : a;
    return engines[a].running <= engines[b].running ? a : b;
}

std::optional<EnginePlacementResult> EnginePlacement::place(
    const Prompt& prompt, std::span<const EngineState> engines, unsigned batch, Common::TimePoint now)
{
    if (engines.empty())
        return std::nullopt;
    auto order = fixedOrder(engines);
    if (isDecodeHeavy(prompt)) {
        auto kept = std::max<size_t>(1, writerEngines(engines, batch, now));
        // The one that is on its way is counted from now on.
        m_writerEngines = std::max(m_writerEngines, kept);
        m_writerEnginesAt = now;
        auto index = pickWriterEngine(engines, std::span(order).first(kept));
        return EnginePlacementResult { index, prompt.tokens, static_cast<uint64_t>(engines[index].prefillTokens) };
    }
    // Readers always have at least half of the engines.
    auto kept = std::min(writerEngines(engines, batch, now), engines.size() / 2);
    return pickReaderEngine(prompt, engines, std::span(order).subspan(kept));
}

// How many engines the writers of all routers need, the most of the last seconds: an engine that they have just left is
// not filled with prompts at once.
size_t EnginePlacement::writerEngines(std::span<const EngineState> engines, unsigned batch, Common::TimePoint now)
{
    double writers = 0;
    for (const auto& engine : engines)
        writers += engine.writers;
    auto enginesAt = [&](double share) {
        return 1 + static_cast<size_t>(writers * writerHeadroom / std::max(1.0, batch * share));
    };
    size_t needed = 0;
    if (writers > 0)
        needed
            = std::max(std::min(enginesAt(writerShareOfBatch), engines.size() / 2), enginesAt(fullWriterShareOfBatch));
    needed = std::min(needed, engines.size());
    bool isForgotten = now - m_writerEnginesAt >= writerMemory;
    if (needed >= m_writerEngines || isForgotten) {
        m_writerEngines = needed;
        m_writerEnginesAt = now;
    }
    return std::min(m_writerEngines, engines.size());
}

EnginePlacementResult EnginePlacement::pickReaderEngine(
    const Prompt& prompt, std::span<const EngineState> engines, std::span<const size_t> others) const
{
    const auto* subject = prompt.subject();
    size_t home = engines.size();
    uint64_t homeScore = 0;
    for (size_t index : others) {
        if (!subject)
            break;
        auto score = Common::stableHash(engines[index].id, subject->id);
        if (home == engines.size() || score > homeScore) {
            home = index;
            homeScore = score;
        }
    }
    EnginePlacementResult best;
    double bestCost = std::numeric_limits<double>::max();
    for (size_t index : others) {
        const auto& engine = engines[index];
        uint32_t cached = index == home ? std::min(prompt.tokens, prompt.sharedTokens()) : 0;
        double unread = prompt.tokens - cached;
        double reread = index == home ? 0 : std::min(prompt.tokens, prompt.sharedTokens());
        double cost = unread + reread * (rereadFactor - 1) + engine.prefillTokens + runningTokens * engine.running;
        if (engine.isOutlier)
            cost *= suspicionFactor;
        if (cost < bestCost) {
            best = { index, static_cast<uint64_t>(unread), static_cast<uint64_t>(engine.prefillTokens) };
            bestCost = cost;
        }
    }
    return best;
}

} // namespace Brassladder::RouteServing::Routing
