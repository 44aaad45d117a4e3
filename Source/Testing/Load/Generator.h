// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/FiberRuntime.h"
#include "Common/Json.h"
#include "Testing/Load/Plan.h"

#include <map>
#include <string>
#include <vector>

namespace Brassladder::Testing::Load {

// Result of one request as its caller observed it.
struct CallRecord {
    std::string requestClass;
    // Scheduled time since the start of the run. Latencies are measured from this time, even if the request was sent
    // late.
    double intendedSeconds { 0 };
    double firstSeconds { -1 }; // Time to the first token or response; negative if none arrived.
    double totalSeconds { 0 };
    double longestGapSeconds { 0 }; // Longest time between two tokens.
    uint32_t tokens { 0 };
    uint32_t requestedTokens { 0 }; // Length of the complete response.
    uint32_t tries { 1 };
    bool isComplete { false }; // The complete response to this request was received.
    bool isCorrupt { false }; // Data of another response, a gap, or a truncated response that looked complete.
    std::string refusal; // Error kind of the last attempt; empty if there was none.
    std::string ran; // The `ran` field of the last error.
    Common::Milliseconds retryAfter { 0 }; // From the last error.
    std::string key; // Idempotency-Key; empty if none was sent.
    std::string requestId;
    double refusedSeconds { -1 }; // Time to a refusal; negative if there was none.
};

// A request. `callRouter` sends it to one router and verifies the response. Suspends the calling fiber.
struct Call {
    const Arrivals* arrivals { nullptr };
    std::string nonce;
    uint32_t length { 0 };
    std::string key;
    std::string attempt;
};
CallRecord callRouter(const Common::Endpoint& router, const Call&);

// Runs the plan and waits until every request has ended. Blocks the calling thread, which must not be a fiber thread.
std::vector<CallRecord> run(Common::FiberRuntime&, const Plan&);

// Results of one class.
struct ClassReport {
    uint64_t requests { 0 };
    uint64_t completed { 0 };
    uint64_t attained { 0 };
    uint64_t corrupted { 0 };
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
