// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/DecodeReservation.h"
#include "RouteServing/Routing/EngineCost.h"
#include "RouteServing/Routing/EngineOrder.h"
#include "RouteServing/Routing/EnginePaces.h"
#include "RouteServing/Routing/EngineState.h"
#include "RouteServing/Routing/Prompt.h"
#include "RouteServing/Routing/Urgency.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// What is known about the engines of a service as a whole.
struct EngineCapabilities {
    unsigned batch { 1 }; // Requests that one engine runs at once.
    bool fetchesKvCache { false }; // See EngineTraits.
    // The shortest pause bound among the streams that lead to the service; zero if none is stated.
    Common::Milliseconds shortestMaxPause { 0 };
    ServicePace pace {}; // Zero where unknown.
};

// Where a generation is placed, and the prefill that is expected there.
struct EnginePlacementResult {
    size_t index { 0 }; // Into the engines passed to place().
    uint64_t prefillTokens { 0 }; // Of this prompt; excludes the prefix that is expected to be cached.
    uint64_t queuedPrefillTokens { 0 }; // Tokens of other prompts that the engine prefills first.
    bool isDecodeHeavy { false }; // See EnginePlacement::isDecodeHeavy().
    std::optional<size_t> prefixSource; // Another engine that is expected to have the shared prefix cached.
    Common::Milliseconds expectedFirstEvent { 0 }; // From now on; zero while there are no observations.
    Punctuality punctuality { Punctuality::OnTime };
};

// Places generations on the engines of one service.
//
// Each prefill step delays the decoding of all other requests in the batch, so decode-heavy generations (long
// responses) and prefill-heavy ones (long prompts) use different engines where possible. A generation with both a long
// prompt and a long response is prefill-heavy if its prefill would violate the pause bound of the others. The engines
// have a fixed order. Decode-heavy generations use the first ones, as many as DecodeReservation reserves. Prefill-heavy
// generations use the others, but at least the last half, and prefer the engine that is expected to have their shared
// prefix cached, then the engines that keep further copies of it (PrefixRanking). All routers compute the same order
// and hashes, so they agree without messages.
//
// Not thread-safe.
class EnginePlacement {
public:
    // Returns nullopt if no engine is offered. `due` is when the first event is wanted.
    //
    // Only generations whose decode takes less time than their prefill are marked late. A late generation may be
    // preempted in the middle of its response. A long response would then be interrupted again and again, and its
    // prompt prefilled each time.
    // `knownShare` is the share of the fleet's routers whose requests the states of the engines include.
    // `isDecodeHeavy` is the classification by an earlier placement of the same generation, which is kept because the
    // pace may have changed since.
    std::optional<EnginePlacementResult> place(const Prompt&, std::span<const EngineState>, const EngineCapabilities&,
        Common::TimePoint due, Common::TimePoint now, double knownShare = 1,
        std::optional<bool> isDecodeHeavy = std::nullopt);

    // Whether decoding is expected to take the engine longer than the prefill, and the prefill fits into the pauses of
    // the generations that run beside it. Only the former counts where no pause bound or no pace is known.
    static bool isDecodeHeavy(const Prompt&, const EngineCapabilities&);

private:
    EnginePlacementResult placeDecodeHeavy(const Prompt&, std::span<const EngineState>,
        std::span<const size_t> reserved, const EngineCost&, Common::TimePoint now);

    EngineOrder m_order;
    DecodeReservation m_reservation;
};

} // namespace Brassladder::RouteServing::Routing
