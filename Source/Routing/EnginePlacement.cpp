// SPDX-License-Identifier: Apache-2.0
#include "Routing/EnginePlacement.h"

#include "Common/Digest.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace Brassladder::Routing {

using namespace std::chrono_literals;

// A token that is written takes an engine about as long as ten that are read: it needs a step of its own.
static constexpr uint64_t readTokensPerWrittenToken = 10;
// Writers use an engine up to this share of its batch before they go to the next.
static constexpr double writerShareOfBatch = 0.5;
// For so long after the last writer, readers leave its engine alone.
static constexpr Common::Milliseconds writerMemory = 3000ms;
// What one running request costs a new prompt, in prompt tokens: it lengthens each step of the batch.
static constexpr double runningTokens = 150;
// A suspicious engine is taken as if so many times the cost awaited there.
static constexpr double suspicionFactor = 5;

bool EnginePlacement::isWriter(const Prompt& prompt)
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

std::optional<EnginePick> EnginePlacement::place(
    const Prompt& prompt, std::span<const EngineState> engines, unsigned batch, Common::TimePoint now)
{
    if (engines.empty())
        return std::nullopt;
    auto order = fixedOrder(engines);
    if (isWriter(prompt)) {
        size_t place = pickWriterEngine(engines, order, batch);
        noteWriters(place + 1, now);
        return EnginePick { order[place], prompt.tokens };
    }
    size_t kept = now - m_writerEnginesAt < writerMemory ? m_writerEngines : 0;
    // Readers always have at least half of the engines.
    kept = std::min(kept, engines.size() / 2);
    return pickReaderEngine(prompt, engines, std::span(order).subspan(kept));
}

void EnginePlacement::noteWriters(size_t engines, Common::TimePoint now)
{
    bool isForgotten = now - m_writerEnginesAt >= writerMemory;
    if (engines < m_writerEngines && !isForgotten)
        return;
    m_writerEngines = engines;
    m_writerEnginesAt = now;
}

size_t EnginePlacement::pickWriterEngine(
    std::span<const EngineState> engines, std::span<const size_t> order, unsigned batch)
{
    double limit = std::max(1.0, batch * writerShareOfBatch);
    size_t leastLoaded = 0;
    for (size_t place = 0; place < order.size(); ++place) {
        const auto& engine = engines[order[place]];
        if (engine.running < limit && !engine.suspicious)
            return place;
        if (engine.running < engines[order[leastLoaded]].running)
            leastLoaded = place;
    }
    return leastLoaded;
}

EnginePick EnginePlacement::pickReaderEngine(
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
    EnginePick best;
    double bestCost = std::numeric_limits<double>::max();
    for (size_t index : others) {
        const auto& engine = engines[index];
        uint32_t cached = index == home ? std::min(prompt.tokens, prompt.sharedTokens()) : 0;
        double unread = prompt.tokens - cached;
        double cost = unread + engine.unreadTokens + runningTokens * engine.running;
        if (engine.suspicious)
            cost *= suspicionFactor;
        if (cost < bestCost) {
            best = { index, static_cast<uint64_t>(unread) };
            bestCost = cost;
        }
    }
    return best;
}

} // namespace Brassladder::Routing
