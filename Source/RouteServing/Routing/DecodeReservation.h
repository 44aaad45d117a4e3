// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/EngineState.h"

#include <optional>
#include <span>

namespace Brassladder::RouteServing::Routing {

// Holds the largest number of engines needed within the last seconds, so that a short drop in load does not release
// engines.
class PeakHold {
public:
    size_t update(size_t needed, Common::TimePoint now);

private:
    size_t m_peak { 0 };
    Common::TimePoint m_at {};
};

// Numbers of engines, in the fixed order of a service's engines.
struct ReservedEngines {
    size_t forDecodeHeavy { 0 }; // The first ones, which decode-heavy generations use.
    size_t withoutPrefillHeavy { 0 }; // The first ones, which prefill-heavy generations do not use.
};

// Computes how many engines are reserved for decode-heavy generations, so that long prompts do not delay their
// decoding.
//
// Up to half of the engines are reserved so that each runs half a batch. More than half are reserved only if the
// generations need them even with nearly full batches. While prefill-heavy generations are late, nearly full batches
// are always planned: this takes about half as many engines, and a fuller batch decodes only slightly slower.
//
// Engines are counted by their speed: one that is twice as fast as the average counts as two. Those reserved have at
// least enough slots for all known decode-heavy generations.
//
// A few engines are reserved at all times, since a burst may begin at all routers before any load report includes it.
//
// While the loads of most of the fleet are unknown, their generations are unknown as well. The number of engines would
// be computed from those of a few routers, and all routers would use the same few engines. Half of the engines are used
// then.
//
// Not thread-safe.
class DecodeReservation {
public:
    // Records that a prefill-heavy generation is not expected to begin in time on the engines that are not reserved.
    void recordLatePrefill(Common::TimePoint now) { m_lastLatePrefill = now; }

    // Returns which engines to reserve now. `order` contains the indices of all engines. `batch` is the number of
    // requests that one engine runs at once, `knownShare` the share of the fleet's routers whose requests the states of
    // the engines include. Prefill-heavy generations always have at least half of the engines.
    ReservedEngines reserve(std::span<const EngineState>, std::span<const size_t> order, unsigned batch,
        double knownShare, Common::TimePoint now);
    // Records that a decode-heavy generation was placed.
    void recordDecodeHeavy(Common::TimePoint now);

private:
    bool hadLatePrefill(Common::TimePoint now) const;
    // Returns the number of engines of average speed that are needed for decode-heavy generations, out of `available`.
    size_t enginesNeeded(
        double available, double generations, unsigned batch, double knownShare, Common::TimePoint now);

    PeakHold m_atHalfBatch;
    PeakHold m_atNearlyFullBatch;
    std::optional<Common::TimePoint> m_lastLatePrefill;
};

} // namespace Brassladder::RouteServing::Routing
