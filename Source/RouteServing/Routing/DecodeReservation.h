// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/EngineState.h"

#include <optional>
#include <span>

namespace Brassladder::RouteServing::Routing {

// A number of engines that was needed lately: the largest of the last seconds, so that engines are not given away in a
// short lull.
class PeakHold {
public:
    size_t update(size_t needed, Common::TimePoint now);

private:
    size_t m_peak { 0 };
    Common::TimePoint m_at {};
};

// How many engines are kept for decode-heavy generations, so that no long prompt delays their decoding.
//
// Each engine takes up to half of a batch while prefill-heavy generations begin in time on the engines that are left.
// While they do not, decode-heavy ones fill their engines nearly, on about half as many: a fuller batch decodes a
// little slower, which their pauses bear, and prompts that are late need the engines more. Nearly full at all times
// cost 0.035 of worth in bursts on 90 engines in which prompts are seldom late (two seeds of two days, trials).
//
// Not safe for several threads.
class DecodeReservation {
public:
    // A prefill-heavy generation cannot begin in time on the engines that are left to it.
    void recordLatePrefill(Common::TimePoint now) { m_lastLatePrefill = now; }

    // How many engines decode-heavy generations need now. `batch`: requests that one engine runs at once.
    size_t enginesNeeded(std::span<const EngineState>, unsigned batch, Common::TimePoint now);
    // Another decode-heavy generation was placed.
    void recordDecodeHeavy(Common::TimePoint now);

private:
    bool hadLatePrefill(Common::TimePoint now) const;

    PeakHold m_atHalfBatch;
    PeakHold m_atNearlyFullBatch;
    std::optional<Common::TimePoint> m_lastLatePrefill;
};

} // namespace Brassladder::RouteServing::Routing
