// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Error.h"

// When a failed attempt may be followed by another one. Pure. How many retries a pool can afford is bounded by
// RetryBudget.h; how many a class wants is its `max_attempts`.
namespace Brassladder::ClassServing::Scheduling {

struct FailedAttempt {
    const Common::Error& error;
    bool callerGone { false };
    bool hasRelayed { false }; // Something of a response has gone to the caller.
    bool mustNotRepeat { false }; // The class allows no repeat.
};

// A request is tried again only when it provably did not run, or when its class allows repeats; and only while the
// caller is there and has nothing of a response yet.
inline bool mayRetry(const FailedAttempt& attempt)
{
    if (attempt.callerGone || attempt.error.kind == Common::ErrorKind::CallerGone || attempt.hasRelayed)
        return false;
    return attempt.error.ran == Common::Ran::No || !attempt.mustNotRepeat;
}

// Whether only the chosen upstream is to blame, so that another one may do.
inline bool isUpstreamGone(const Common::Error& error)
{
    return error.kind == Common::ErrorKind::UpstreamLostState || error.kind == Common::ErrorKind::UpstreamRefused;
}

} // namespace Brassladder::ClassServing::Scheduling
