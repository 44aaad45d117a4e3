// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Error.h"

// Decides whether a failed attempt may be retried. RetryBudget.h limits the retries of a pool, and `max_attempts`
// limits the attempts of a request.
namespace Brassladder::ClassServing::Scheduling {

struct FailedAttempt {
    const Common::Error& error;
    bool callerGone { false };
    bool hasRelayed { false }; // A part of a response was sent to the caller.
    bool mustNotRepeat { false }; // The class sets `no_repeat`.
};

// Returns true if the request certainly did not run or its class allows repeats, provided that the caller is connected
// and no part of a response was sent.
inline bool mayRetry(const FailedAttempt& attempt)
{
    if (attempt.callerGone || attempt.error.kind == Common::ErrorKind::CallerGone || attempt.hasRelayed)
        return false;
    return attempt.error.ran == Common::Ran::No || !attempt.mustNotRepeat;
}

// Returns whether the error concerns only the selected upstream, so another one may serve the request.
inline bool isUpstreamSpecific(const Common::Error& error)
{
    return error.kind == Common::ErrorKind::UpstreamLostState || error.kind == Common::ErrorKind::UpstreamRefused;
}

} // namespace Brassladder::ClassServing::Scheduling
