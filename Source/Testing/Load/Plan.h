// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Common/Settings.h"

#include <string>
#include <vector>

// The load generator: open-loop arrivals by class, checked answers, and what users measure.
namespace Brassladder::Testing::Load {

// A part of the run in which a stream of requests arrives faster.
struct Burst {
    double fromSeconds { 0 };
    double toSeconds { 0 };
    double factor { 1 };
};

// Requests of one class and one workspace.
struct Arrivals {
    std::string requestClass;
    std::string key; // Of the workspace.
    std::string servicePath; // Empty: a chat completion; else the path of a plain service.
    double perSecond { 1 };
    std::vector<Burst> bursts;
    double medianTokens { 16 }; // Lengths are log-normal: nobody knows them in advance.
    double spread { 0.5 }; // Standard deviation of the logarithm.
    uint32_t maxTokens { 4096 };
    bool stream { true };
    bool idempotencyKey { false };
    bool retryRefused { false }; // Comes back after the time that a refusal tells, up to `retries` times.
    uint32_t retries { 3 };
    Common::Milliseconds target { 0 }; // To the first token, or to the answer of a plain service.
};

struct Plan {
    uint64_t seed { 1 };
    double seconds { 10 };
    std::vector<Arrivals> arrivals;
    std::vector<Common::Endpoint> routers;
};

// Reads the `load` part of a scenario file; all faults in one go. The routers are the caller's to set.
std::variant<Plan, std::vector<Common::Fault>> parsePlan(const Common::Json&);

} // namespace Brassladder::Testing::Load
