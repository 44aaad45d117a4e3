// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Claims/ClaimClient.h"
#include "ClassServing/Frontend/RequestContext.h"

namespace Brassladder::ClassServing::Frontend {

// Enforces at-most-once execution: claims the idempotency key of a request before it is sent to an upstream, and ends
// or frees the claim afterwards. The claim router (Claims/ClaimRouter.h) decides claims by the log. Thread-safe.
class ClaimGate {
public:
    // `horizon`: how long a claim is valid. All instances must use the same value.
    ClaimGate(Claims::ClaimClient& claims, Common::Milliseconds horizon)
        : m_claims(claims)
        , m_horizon(horizon)
    {
    }

    // Returns Done if the request may be sent, which is always so without a claim key, else DuplicateKey or
    // ClaimUnavailable. Suspends the calling fiber.
    Common::Status claim(RequestContext&);
    // Ends the claim of a request that completed, and frees the claim of one that did not run. The claim of a request
    // that failed and may have run stays in force.
    void settle(const RequestContext&, const Common::Status&);
    // Returns whether the claim is too old to send the request. A process that was suspended after it won the claim
    // must not send once the claim may have expired.
    bool isClaimStale(const RequestContext&, Common::TimePoint now) const;

private:
    Claims::ClaimClient& m_claims;
    Common::Milliseconds m_horizon;
};

} // namespace Brassladder::ClassServing::Frontend
