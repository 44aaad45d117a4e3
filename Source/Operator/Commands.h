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

// Exit codes of brassladder-ctl.
enum class CtlExit : int { Success = 0, Failure = 1, Usage = 2, Invalid = 3, Conflict = 4, Different = 5 };

struct CtlOptions {
    // Default of --max_age.
    static constexpr Common::Milliseconds defaultMaxAge { 4000 };

    std::optional<Common::Endpoint> log;
    std::vector<Common::Endpoint> routers;
    // Metrics endpoints of routers that serve routes, for `fleet`, `suspects` and `lift`.
    std::vector<Common::Endpoint> metrics;
    Common::Milliseconds maxAge { defaultMaxAge }; // A router with older state is reported as behind.
    std::vector<std::string> logFiles; // Log files of routers, for `explain`.
    std::string fleetKey;
    std::map<std::string, uint64_t> baseVersions;
    bool json { false };
};

// Runs one command in the calling fiber and prints its result to standard output.
CtlExit runCommand(std::span<const std::string> words, const CtlOptions&);

} // namespace Brassladder::Operator
