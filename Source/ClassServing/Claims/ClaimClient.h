// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Claims/ClaimFold.h"
#include "Common/Precompiled.h"
#include "Inner/Inner.pb.h"

#include <mutex>

namespace Brassladder::ClassServing::Claims {

// Sends the claims of an entry to the claim router of the key's partition. It resends a claim with the same request id
// until a verdict arrives, because the claim router may fail or change. Resending is safe because claims with the same
// request id count as one claim. Thread-safe.
class ClaimClient {
public:
    struct Hooks {
        std::function<void(const std::string& peer, Inner::Wire::Item)> send;
        std::function<std::string(uint32_t partition)> claimRouterOf;
    };
    // Timeout of a whole claim; exceeds ClaimRouter::defaultTimeout to leave time for the verdict to arrive.
    static constexpr Common::Milliseconds defaultTimeout { 2000 };
    // A claim without a verdict is resent at this interval to the claim router of the current view.
    static constexpr Common::Milliseconds defaultResendInterval { 400 };

    struct Options {
        uint32_t partitions { 2 };
        Common::Milliseconds timeout { defaultTimeout };
        Common::Milliseconds resendInterval { defaultResendInterval };
    };

    ClaimClient(Hooks hooks, Options options)
        : m_hooks(std::move(hooks))
        , m_options(options)
    {
    }

    // Suspends the calling fiber until a verdict arrives. Returns Unavailable after the timeout. With `readOnly`,
    // reads the state of the key without a claim.
    Verdict claim(const KeyAndRequest&, bool readOnly);
    // Reports that the claim is withdrawn. The claimant must not send its request afterwards.
    void reportFreed(const KeyAndRequest& what) { update(what, true); }
    // Reports that the request has completed.
    void reportEnded(const KeyAndRequest& what) { update(what, false); }

    void onVerdict(const Inner::Wire::ClaimVerdict&);
    uint32_t partitionOf(std::string_view key) const;

private:
    struct Waiter {
        std::mutex mutex; // Never held across a suspension.
        boost::fibers::condition_variable_any changed;
        std::optional<Verdict> verdict;
    };
    void update(const KeyAndRequest&, bool free);

    Hooks m_hooks;
    Options m_options;
    std::mutex m_mutex;
    std::map<uint64_t, std::shared_ptr<Waiter>> m_waiters;
    uint64_t m_lastSequence { 0 };
};

} // namespace Brassladder::ClassServing::Claims
