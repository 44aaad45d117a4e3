// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Common/Settings.h"

#include <string>
#include <vector>

// Load generator: open-loop arrivals by class, verified responses, and metrics as callers observe them.
namespace Brassladder::Testing::Load {

// A period of the run with a higher arrival rate.
struct Burst {
    double fromSeconds { 0 };
    double toSeconds { 0 };
    double factor { 1 };
};

// An arrival process for one class and one workspace.
struct Arrivals {
    std::string requestClass;
    std::string key; // API key of the workspace.
    std::string servicePath; // Path of a plain service; empty for a chat completion.
    double perSecond { 1 };
    std::vector<Burst> bursts;
    double medianTokens { 16 }; // Median of the log-normal response length.
    double spread { 0.5 }; // Standard deviation of the logarithm of the length.
    uint32_t maxTokens { 4096 };
    bool stream { true };
    bool idempotencyKey { false };
    bool retryRefused { false }; // Retries a refused request after its Retry-After, up to `retries` times.
    uint32_t retries { 3 };
    Common::Milliseconds target { 0 }; // Target time to the first token, or to the response of a plain service.
};

struct Plan {
    uint64_t seed { 1 };
    double seconds { 10 };
    std::vector<Arrivals> arrivals;
    std::vector<Common::Endpoint> routers;
};

// Reads the `load` member of a scenario file. Returns all faults if it is invalid. The caller sets the routers.
std::variant<Plan, std::vector<Common::Fault>> parsePlan(const Common::Json&);

} // namespace Brassladder::Testing::Load
