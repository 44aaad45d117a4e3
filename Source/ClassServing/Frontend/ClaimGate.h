// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Claims/ClaimClient.h"
#include "ClassServing/Frontend/RequestContext.h"

namespace Brassladder::ClassServing::Frontend {

// At most once: claims the idempotency key of a request before it is sent, and settles the claim when the request is
// over. Verdicts come from the log by way of the claim router (Claims/ClaimRouter.h). Safe to use from several threads.
class ClaimGate {
public:
    // `horizon`: how long a claim holds; the same on all instances.
    ClaimGate(Claims::ClaimClient& claims, Common::Milliseconds horizon)
        : m_claims(claims)
        , m_horizon(horizon)
    {
    }

    // Done when the request may be sent; requests without a claim key always may. DuplicateKey or ClaimUnavailable
    // else. Suspends the calling fiber.
    Common::Status claim(RequestContext&);
    // The request is over: its claim ends, or is freed when the request did not run.
    void settle(const RequestContext&, const Common::Status&);
    // Whether the claim is too old to send the request: a process that was stopped after it won the claim must not send
    // once the claim may have passed.
    bool isClaimStale(const RequestContext&, Common::TimePoint now) const;

private:
    Claims::ClaimClient& m_claims;
    Common::Milliseconds m_horizon;
};

} // namespace Brassladder::ClassServing::Frontend
