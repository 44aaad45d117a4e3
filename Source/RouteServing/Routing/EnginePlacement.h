// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Prompt.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// What is known of one model engine when a generation is to be placed.
struct EngineState {
    std::string_view id;
    double running { 0 }; // Requests there, of all routers as far as is known.
    double writers { 0 }; // Of those, the ones that write more than they read.
    double prefillTokens { 0 }; // Prompt tokens that wait there to be read.
    bool isOutlier { false }; // Fails more often than the others.
};

// Where a generation goes, and what the engine has to read of its prompt there.
struct EnginePlacementResult {
    size_t index { 0 }; // Into the engines that were offered.
    uint64_t prefillTokens { 0 };
    uint64_t queuedPrefillTokens { 0 }; // Of other prompts, which the engine reads first.
};

// Places generations on the engines of one service.
//
// Every token of what runs in a batch is held up by the prompts that are read beside it, so long answers and long
// prompts are kept apart: generations that write more than they read use the first engines of a fixed order, as many as
// all writers need when each engine takes up to half of its batch; those that read more than they write share the other
// engines. There each goes to the engine that keeps the shared parts of its prompt, unless another one is expected to
// begin sooner even though it must read them anew. All routers use the same order and the same hash, so that they agree
// without a message on the choice itself.
//
// Not safe for several threads.
class EnginePlacement {
public:
    // `batch`: requests that one engine runs at once. None when no engine is offered.
    std::optional<EnginePlacementResult> place(
        const Prompt&, std::span<const EngineState>, unsigned batch, Common::TimePoint now);

    // A generation that writes more than it reads.
    static bool isDecodeHeavy(const Prompt&);

private:
    EnginePlacementResult pickReaderEngine(
        const Prompt&, std::span<const EngineState>, std::span<const size_t> others) const;
    size_t writerEngines(std::span<const EngineState>, unsigned batch, Common::TimePoint now);

    size_t m_writerEngines { 0 }; // How many engines, from the start of the order, writers needed lately.
    Common::TimePoint m_writerEnginesAt {};
};

} // namespace Brassladder::RouteServing::Routing
