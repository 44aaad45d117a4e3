// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/DecodeReservation.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Share of a batch that decode-heavy generations use while prompts begin in time. Chosen, not measured on its own;
// keeping the two kinds apart took a burst on nine engines from a worth of 0.680 to 0.868 (docs/MEASUREMENTS.md).
static constexpr double decodeShareOfBatch = 0.5;
// The share that they use while prompts do not, or where all of them would need more than half of the engines. Half at
// all times left 1,250 long responses late in a burst on 90 engines (docs/DESIGN.md, trials).
static constexpr double maxDecodeShareOfBatch = 0.9;
// Engines are reserved for this many times the known decode-heavy generations, because new ones begin before reports of
// them arrive. Chosen, not measured.
static constexpr double decodeHeadroom = 1.25;
// For how long the largest need counts, and a late prompt. Chosen, not measured: a few times the 0.1 s of load reports,
// and about as long as a long response takes.
static constexpr Common::Milliseconds peakHoldTime = 3000ms;

size_t PeakHold::update(size_t needed, Common::TimePoint now)
{
    if (needed >= m_peak || now - m_at >= peakHoldTime) {
        m_peak = needed;
        m_at = now;
    }
    return m_peak;
}

static size_t enginesForBatchShare(double share, double generations, unsigned batch)
{
    if (generations <= 0)
        return 0;
    return 1 + static_cast<size_t>(generations * decodeHeadroom / std::max(1.0, batch * share));
}

bool DecodeReservation::hadLatePrefill(Common::TimePoint now) const
{
    return m_lastLatePrefill && now - *m_lastLatePrefill < peakHoldTime;
}

size_t DecodeReservation::enginesNeeded(std::span<const EngineState> engines, unsigned batch, Common::TimePoint now)
{
    double generations = 0;
    for (const auto& engine : engines)
        generations += engine.decodeHeavy;
    auto atHalf = m_atHalfBatch.update(enginesForBatchShare(decodeShareOfBatch, generations, batch), now);
    auto atNearlyFull
        = m_atNearlyFullBatch.update(enginesForBatchShare(maxDecodeShareOfBatch, generations, batch), now);
    if (hadLatePrefill(now))
        return std::min(atNearlyFull, engines.size());
    // Nearly full batches before any engine beyond half of them.
    auto withinHalf = std::min(atHalf, engines.size() / 2);
    return std::min(std::max(withinHalf, atNearlyFull), engines.size());
}

void DecodeReservation::recordDecodeHeavy(Common::TimePoint now)
{
    m_atHalfBatch.update(1, now);
    m_atNearlyFullBatch.update(1, now);
}

} // namespace Brassladder::RouteServing::Routing
