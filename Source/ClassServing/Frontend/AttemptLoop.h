// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Frontend/ClaimGate.h"
#include "ClassServing/Frontend/SlotPlacement.h"
#include "ClassServing/Scheduling/RetryBudget.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace Brassladder::ClassServing::Frontend {

// How one attempt to serve a request at one upstream ended.
struct AttemptResult {
    Scheduling::SlotOutcome outcome { Scheduling::SlotOutcome::Completed };
    std::optional<Common::Error> error; // Set unless the attempt completed or the engine paused it.
    uint32_t tokens { 0 };
    Common::Duration perToken {}; // Mean time between two tokens; zero if unknown.
};

// Runs a request: claims its key, acquires slots, makes attempts and retries failed ones by the rule in
// Scheduling/RetryRule.h. The hook makes one attempt at one upstream. Owns the retry budget of each pool. Thread-safe.
class AttemptLoop {
public:
    using AttemptHook = std::function<AttemptResult(const Membership::Upstream&)>;

    AttemptLoop(ClaimGate claims, SlotPlacement placement)
        : m_claims(claims)
        , m_placement(placement)
    {
    }

    // Returns Done once an attempt completed, else the error for the caller. Suspends the calling fiber.
    Common::Status run(RequestContext&, const AttemptHook&);

private:
    Common::Status runClaimed(RequestContext&, const AttemptHook&);
    AttemptResult runAttempt(RequestContext&, const PlacedSlot&, bool resuming, const AttemptHook&);
    // Withdraws a retry from the budget and returns nullopt, or returns the error for the caller if there is no retry.
    std::optional<Common::Error> checkRetry(const RequestContext&, const Common::Error&, uint32_t attempts);
    Scheduling::RetryBudget& budget(const std::string& pool);

    ClaimGate m_claims;
    SlotPlacement m_placement;
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Scheduling::RetryBudget>> m_budgets; // By pool.
};

} // namespace Brassladder::ClassServing::Frontend
