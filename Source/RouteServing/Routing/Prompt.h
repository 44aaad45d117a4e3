// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// One part of a prompt, which several requests may share. An engine that has a part and all parts before it in its
// prefix cache does not prefill them again.
struct PromptPart {
    uint64_t id { 0 };
    uint32_t tokens { 0 };
};

// What the caller states about a generation before it runs.
struct Prompt {
    uint32_t tokens { 0 };
    uint32_t maxOutputTokens { 0 };
    std::vector<PromptPart> parts; // In order; the last one is not shared with other requests.
    // The caller's guess of the output tokens; 0 if it states none. Right in the median, but often far off.
    uint32_t outputHint { 0 };

    bool isKnown() const { return tokens > 0; }
    // Returns the last part of the longest prefix that other requests may share, or null if there is none.
    const PromptPart* sharedPrefix() const { return parts.size() < 2 ? nullptr : &parts[parts.size() - 2]; }
    uint32_t sharedTokens() const; // Tokens of all parts but the last.
    // Returns all parts but the last.
    std::span<const PromptPart> sharedParts() const
    {
        return std::span(parts).first(parts.empty() ? 0 : parts.size() - 1);
    }
};

} // namespace Brassladder::RouteServing::Routing
