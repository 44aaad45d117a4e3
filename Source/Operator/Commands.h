// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Common/Json.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Brassladder::Operator {

// Exit codes of the operator's tool, for scripts.
enum class CtlExit : int { Success = 0, Failure = 1, Usage = 2, Invalid = 3, Conflict = 4, Different = 5 };

struct CtlOptions {
    // `ConfigApplyMs` of the users' largest site.
    static constexpr Common::Milliseconds defaultMaxAge { 4000 };

    std::optional<Common::Endpoint> log;
    std::vector<Common::Endpoint> routers;
    std::vector<Common::Endpoint> metrics; // Of routers that serve routes, for `fleet`, `suspects` and `lift`.
    Common::Milliseconds maxAge { defaultMaxAge }; // State that is older is behind.
    std::vector<std::string> logFiles; // Of routers, for `explain`.
    std::string fleetKey;
    std::map<std::string, uint64_t> baseVersions;
    bool json { false };
};

// Runs one command in the calling fiber and prints its outcome to standard output.
CtlExit runCommand(std::span<const std::string> words, const CtlOptions&);

} // namespace Brassladder::Operator
