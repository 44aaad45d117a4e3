// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Claims/ClaimFold.h"
#include "Common/Precompiled.h"
#include "Inner/Inner.pb.h"

#include <mutex>

namespace Brassladder::ClassServing::Claims {

// The entry's side of claims: sends a claim to the claim router of the key's partition, and sends it again with the
// same request id when that router is lost. Repeats are harmless: all claims of one request id are one claim. Safe to
// use from several threads.
class ClaimClient {
public:
    struct Hooks {
        std::function<void(const std::string& peer, Inner::Wire::Item)> send;
        std::function<std::string(uint32_t partition)> claimRouterOf;
    };
    // For the whole claim: a little above the claim router's own timeout, so that its verdict still arrives. Chosen,
    // not measured.
    static constexpr Common::Milliseconds defaultTimeout { 2000 };
    // The claim router may be lost: asks the next one after this. Chosen, not measured: eight group commits.
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

    // Suspends the calling fiber until the verdict is known or the timeout is over. With `readOnly` nothing is claimed.
    Verdict claim(const KeyAndRequest&, bool readOnly);
    // The claimant withdraws its claim and will never send its request.
    void reportFreed(const KeyAndRequest& what) { update(what, true); }
    // The claimant's request has run to its end.
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
