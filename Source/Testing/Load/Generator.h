// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/FiberRuntime.h"
#include "Common/Json.h"
#include "Testing/Load/Plan.h"

#include <map>
#include <string>
#include <vector>

namespace Brassladder::Testing::Load {

// How one request ended, as its caller saw it.
struct CallRecord {
    std::string requestClass;
    double intendedSeconds { 0 }; // Since the start of the run; latencies count from here, not from a late send.
    double firstSeconds { -1 }; // To the first token or to the answer; negative: none came.
    double totalSeconds { 0 };
    double longestGapSeconds { 0 }; // Between two tokens.
    uint32_t tokens { 0 };
    uint32_t requestedTokens { 0 }; // Length of the whole answer.
    uint32_t tries { 1 };
    bool whole { false }; // The whole answer to this very request.
    bool wrong { false }; // A piece of another answer, a gap, or an answer passed off as whole.
    std::string refusal; // Kind of the last error; empty: none.
    std::string ran; // What the last error said.
    Common::Milliseconds retryAfter { 0 }; // When it said to come back.
    std::string key; // Idempotency-Key, when there was one.
    std::string requestId;
    double refusedSeconds { -1 }; // To a refusal.
};

// One request to one router, answered and checked. Suspends the calling fiber.
struct Call {
    const Arrivals* arrivals { nullptr };
    std::string nonce;
    uint32_t length { 0 };
    std::string key;
    std::string attempt;
};
CallRecord callRouter(const Common::Endpoint& router, const Call&);

// Runs the plan and waits until every request has ended. Blocks the calling plain thread.
std::vector<CallRecord> run(Common::FiberRuntime&, const Plan&);

// What users measure, by class, and in all.
struct ClassReport {
    uint64_t requests { 0 };
    uint64_t whole { 0 };
    uint64_t attained { 0 };
    uint64_t wrong { 0 };
    uint64_t usefulTokens { 0 };
    std::map<std::string, uint64_t> refusals;
    std::vector<double> firstSeconds; // Sorted.
    double maxFirstSeconds { 0 };
    double attainment() const { return requests ? static_cast<double>(attained) / static_cast<double>(requests) : 1; }
    double quantile(double) const;
};
using Report = std::map<std::string, ClassReport>;

Report summarize(const Plan&, std::span<const CallRecord>);
Common::Json toJson(const Report&);
std::string toTable(const Report&);

} // namespace Brassladder::Testing::Load
