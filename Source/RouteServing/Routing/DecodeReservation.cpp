// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/DecodeReservation.h"

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

// Planned share of a batch on reserved engines while prefill-heavy generations begin in time.
// Separating the two kinds raised the value served in a burst on nine engines from 0.680 to 0.868
// (docs/MEASUREMENTS.md).
static constexpr double decodeShareOfBatch = 0.5;
// Planned share of a batch while such generations are late, and whenever half-full batches would take more than half of
// the engines.
// Half a batch at all times left 1,250 long responses late in a burst on 90 engines (docs/DESIGN.md).
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
// Speeds are rounded to multiples of this, so that routers whose observations differ slightly reserve the same engines.
static constexpr double speedStep = 0.25;

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

// Returns the speed of an engine relative to the average.
static double speedOf(const EngineState& engine)
{
    if (engine.slowdown == 1)
        return 1;
    return std::max(1.0, std::round(1 / (engine.slowdown * speedStep))) * speedStep;
}

// Returns how many of the first engines together have at least the given speed.
static size_t countForSpeed(std::span<const EngineState> engines, std::span<const size_t> order, double speed)
{
    size_t count = 0;
    for (; count < order.size() && speed > 0; ++count)
        speed -= speedOf(engines[order[count]]);
    return count;
}

// Returns how many of the first engines together have at most the given speed.
static size_t countWithinSpeed(std::span<const EngineState> engines, std::span<const size_t> order, double speed)
{
    size_t count = 0;
    for (; count < order.size() && speed >= speedOf(engines[order[count]]); ++count)
        speed -= speedOf(engines[order[count]]);
    return count;
}

ReservedEngines DecodeReservation::reserve(std::span<const EngineState> engines, std::span<const size_t> order,
    unsigned batch, double knownShare, Common::TimePoint now)
{
    double generations = 0;
    double available = 0;
    for (const auto& engine : engines) {
        generations += engine.decodeHeavy;
        available += speedOf(engine);
    }
    auto needed = enginesNeeded(available, generations, batch, knownShare, now);
    auto reserved = countForSpeed(engines, order, static_cast<double>(needed));
    auto half = countWithinSpeed(engines, order, available / 2);
    // A fast engine that exceeds the half would be used by both kinds of generations.
    if (static_cast<double>(needed) <= available / 2)
        reserved = std::min(reserved, half);
    // The generations at fast engines end earlier, but each still needs a slot.
    auto forSlots = static_cast<size_t>(std::ceil(generations / std::max(1U, batch)));
    reserved = std::max(reserved, std::min(forSlots, engines.size()));
    return { reserved, std::min(reserved, half) };
}

size_t DecodeReservation::enginesNeeded(
    double available, double generations, unsigned batch, double knownShare, Common::TimePoint now)
{
    auto all = static_cast<size_t>(std::ceil(available));
    auto half = static_cast<size_t>(available / 2);
    auto atHalf = m_atHalfBatch.update(enginesForBatchShare(decodeShareOfBatch, generations, batch), now);
    auto atNearlyFull
        = m_atNearlyFullBatch.update(enginesForBatchShare(maxDecodeShareOfBatch, generations, batch), now);
    if (knownShare < minKnownShare)
        return std::max(half, std::min(atNearlyFull, all));
    if (hadLatePrefill(now))
        return std::min(atNearlyFull, all);
    // Reserves more than half of the engines only if even nearly full batches need them.
    auto withinHalf = std::max(std::min(atHalf, half), all / enginesPerIdleReservation);
    return std::min(std::max(withinHalf, atNearlyFull), all);
}

void DecodeReservation::recordDecodeHeavy(Common::TimePoint now)
{
    m_atHalfBatch.update(1, now);
    m_atNearlyFullBatch.update(1, now);
}

} // namespace Brassladder::RouteServing::Routing
