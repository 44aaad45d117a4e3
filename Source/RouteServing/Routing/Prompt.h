// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// One part of a prompt. Requests share parts; an engine that keeps a part and all parts before it does not read it
// again.
struct PromptPart {
    uint64_t id { 0 };
    uint32_t tokens { 0 };
};

// What a caller tells of a generation before it runs.
struct Prompt {
    uint32_t tokens { 0 };
    uint32_t maxOutputTokens { 0 };
    std::vector<PromptPart> parts; // In order; the last one belongs to this request alone.

    bool isKnown() const { return tokens > 0; }
    // The last part that others may share: the subject of the request. Null when there is none.
    const PromptPart* subject() const { return parts.size() < 2 ? nullptr : &parts[parts.size() - 2]; }
    uint32_t sharedTokens() const;
};

} // namespace Brassladder::RouteServing::Routing
