// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/DecodeReservation.h"
#include "RouteServing/Routing/EngineState.h"
#include "RouteServing/Routing/Prompt.h"
#include "RouteServing/Routing/Urgency.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// What the engines of a service can do.
struct EngineLimits {
    unsigned batch { 1 }; // Requests that one engine runs at once.
    bool fetchesKvCache { false }; // See EngineTraits.
};

// Where a generation goes, and what the engine has to prefill there.
struct EnginePlacementResult {
    size_t index { 0 }; // Into the engines that were offered.
    uint64_t prefillTokens { 0 }; // Of this prompt, without the part that is expected in a prefix cache.
    uint64_t queuedPrefillTokens { 0 }; // Of other prompts, which the engine prefills first.
    std::optional<size_t> prefixSource; // Another engine that is expected to have the shared prefix cached.
    Common::Milliseconds expectedFirstEvent { 0 }; // From now on; zero while nothing is known.
    Punctuality punctuality { Punctuality::OnTime };
};

// Places generations on the engines of one service.
//
// Each prefill step delays the decoding of everything else in the engine's batch, so decode-heavy generations (long
// responses) and prefill-heavy ones (long prompts) are kept apart. Decode-heavy ones use the first engines of a fixed
// order, as many as all of them need; prefill-heavy ones share the other engines. There each goes to the engine that is
// expected to have the shared prefix of its prompt cached, unless another one is expected to begin sooner although it
// must fetch the prefix from there or prefill it again. All routers use the same order and the same hash, so they agree
// without messages about the choice itself.
//
// Not safe for several threads.
class EnginePlacement {
public:
    // `due`: when the first event is wanted. None when no engine is offered.
    //
    // Only prefill-heavy generations are ever late: the short prompt of a decode-heavy one delays nobody, while a late
    // one may be preempted in the middle of its response as soon as its batch is full.
    std::optional<EnginePlacementResult> place(
        const Prompt&, std::span<const EngineState>, const EngineLimits&, Common::TimePoint due, Common::TimePoint now);

    // A generation whose decoding is expected to take the engine longer than its prefill.
    static bool isDecodeHeavy(const Prompt&);

private:
    EnginePlacementResult placeDecodeHeavy(
        const Prompt&, std::span<const EngineState>, std::span<const size_t> reserved, Common::TimePoint now);

    DecodeReservation m_reservation;
};

} // namespace Brassladder::RouteServing::Routing
