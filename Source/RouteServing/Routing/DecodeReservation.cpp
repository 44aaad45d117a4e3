// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/DecodeReservation.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Planned share of a batch on reserved engines while prefill-heavy generations begin in time.
static constexpr double decodeShareOfBatch = 0.5;
// Planned share of a batch while such generations are late, and whenever half-full batches would take more than half of
// the engines.
static constexpr double maxDecodeShareOfBatch = 0.9;
// Factor on the number of known decode-heavy generations, because new ones begin before load reports include them.
static constexpr double decodeHeadroom = 1.25;
// One of so many engines is reserved even if no generation is known: all routers may place the first ones of a burst
// before load reports include any of them.
static constexpr size_t enginesPerIdleReservation = 32;
// Below this share of the fleet, known loads say too little about the others.
static constexpr double minKnownShare = 0.25;
// How long a peak or a late prefill is remembered: several load reports, and about the duration of a long response.
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

size_t DecodeReservation::enginesNeeded(
    std::span<const EngineState> engines, unsigned batch, double knownShare, Common::TimePoint now)
{
    double generations = 0;
    for (const auto& engine : engines)
        generations += engine.decodeHeavy;
    auto atHalf = m_atHalfBatch.update(enginesForBatchShare(decodeShareOfBatch, generations, batch), now);
    auto atNearlyFull
        = m_atNearlyFullBatch.update(enginesForBatchShare(maxDecodeShareOfBatch, generations, batch), now);
    if (knownShare < minKnownShare)
        return std::max(engines.size() / 2, std::min(atNearlyFull, engines.size()));
    if (hadLatePrefill(now))
        return std::min(atNearlyFull, engines.size());
    // Reserves more than half of the engines only if even nearly full batches need them.
    auto withinHalf = std::max(std::min(atHalf, engines.size() / 2), engines.size() / enginesPerIdleReservation);
    return std::min(std::max(withinHalf, atNearlyFull), engines.size());
}

void DecodeReservation::recordDecodeHeavy(Common::TimePoint now)
{
    m_atHalfBatch.update(1, now);
    m_atNearlyFullBatch.update(1, now);
}

} // namespace Brassladder::RouteServing::Routing
