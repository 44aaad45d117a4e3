// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Claims/ClaimClient.h"
#include "ClassServing/Dispatch/GrantClient.h"
#include "ClassServing/Frontend/RequestContext.h"
#include "ClassServing/Scheduling/RetryBudget.h"
#include "ClassServing/Upstream/EngineStream.h"

namespace Brassladder::ClassServing::Frontend {

// How one try of a request on one upstream ended.
struct AttemptResult {
    Scheduling::SlotOutcome outcome { Scheduling::SlotOutcome::Completed };
    std::optional<Common::Error> error; // Set unless the try completed or was paused.
    uint32_t tokens { 0 };
    Common::Duration perToken {};
};

// Takes a request through claims, slots, tries and retries. The kind of upstream is the caller's hook.
//
// A request is tried again only when it provably did not run, or when its class allows repeats and nothing of an
// answer has gone to the caller yet; and then only within the retry budget of its pool.
class AttemptLoop {
public:
    struct Parts {
        Dispatch::GrantClient& grants;
        Claims::ClaimClient& claims;
        Membership::Table& membership;
        Common::Milliseconds claimHorizon { 0 };
    };
    using AttemptHook = std::function<AttemptResult(const Membership::Upstream&)>;

    explicit AttemptLoop(Parts);

    // Done when a try completed; else the error to answer with.
    Common::Status run(RequestContext&, const AttemptHook&);

private:
    struct Placed {
        Dispatch::Slot slot;
        Dispatch::ShardKey shard;
        Membership::Upstream upstream;
    };

    Common::Status claim(RequestContext&);
    Common::Status runClaimed(RequestContext&, const AttemptHook&);
    Common::Result<Placed> place(RequestContext&, const std::string& pinned, const std::string& avoid);
    // A paused generation goes on in the shard of its upstream; else the lighter of two shards.
    Dispatch::ShardKey chooseShard(const RequestContext&, const std::string& pinned);
    AttemptResult runAttempt(RequestContext&, const Placed&, bool resuming, const AttemptHook&);
    bool mayRetry(const RequestContext&, const Common::Error&) const;
    void settleClaim(const RequestContext&, const Common::Status&);
    Scheduling::RetryBudget& budget(const std::string& pool);

    Parts m_parts;
    std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Scheduling::RetryBudget>> m_budgets;
};

} // namespace Brassladder::ClassServing::Frontend
