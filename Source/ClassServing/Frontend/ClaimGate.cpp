// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/ClaimGate.h"

namespace Brassladder::ClassServing::Frontend {

using Common::Error;
using Common::ErrorKind;
using Common::Ran;
using Common::Status;

// A claimed request must be sent within the horizon divided by this. The rest is a margin for a process that is
// suspended between its last check of the clock and the write (docs/PROMISES.md, "Not proved").
static constexpr int sendWindowDivisor = 2;

static Error claimError(Claims::Verdict verdict)
{
    if (verdict == Claims::Verdict::Unavailable)
        return Common::makeError(
            ErrorKind::ClaimUnavailable, "the platform's log did not confirm the claim of the Idempotency-Key");
    auto error = Common::makeError(ErrorKind::DuplicateKey, "a request with this Idempotency-Key was sent before");
    if (verdict == Claims::Verdict::Ended)
        error.ran = Ran::Yes;
    return error;
}

// Returns the error for any attempt after the first in a class with vouched attempts. It is always refused, because the
// first attempt may have run without a claim while the log was unavailable.
static Error laterAttemptError(Claims::Verdict verdict)
{
    return claimError(verdict == Claims::Verdict::Unavailable ? Claims::Verdict::Taken : verdict);
}

Status ClaimGate::claim(RequestContext& context)
{
    if (!context.claimKey)
        return Common::Done {};
    Claims::KeyAndRequest what { *context.claimKey, context.requestId };
    bool isVouched = context.requestClass->vouchedAttempts;
    bool isLater = isVouched && *context.attempt > 1;
    auto verdict = m_claims.claim(what, isLater);
    context.explanation->step("claimed", { { "verdict", Claims::name(verdict) }, { "look_only", isLater } });
    if (isLater)
        return laterAttemptError(verdict);
    if (verdict == Claims::Verdict::Won || (isVouched && verdict == Claims::Verdict::Unavailable)) {
        context.claimedAt = Common::now();
        return Common::Done {};
    }
    // The claim may still be written to the log. Freeing it lets the caller's next attempt claim the key.
    if (verdict == Claims::Verdict::Unavailable)
        m_claims.reportFreed(what);
    return claimError(verdict);
}

void ClaimGate::settle(const RequestContext& context, const Status& status)
{
    if (!context.claimKey)
        return;
    Claims::KeyAndRequest what { *context.claimKey, context.requestId };
    if (!isError(status))
        m_claims.reportEnded(what);
    else if (errorOf(status).ran == Ran::No)
        m_claims.reportFreed(what);
}

bool ClaimGate::isClaimStale(const RequestContext& context, Common::TimePoint now) const
{
    return context.claimedAt && now - *context.claimedAt > m_horizon / sendWindowDivisor;
}

} // namespace Brassladder::ClassServing::Frontend
