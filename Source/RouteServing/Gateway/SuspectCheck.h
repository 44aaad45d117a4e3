// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpExchange.h"
#include "RouteServing/Gateway/CrashDetector.h"
#include "RouteServing/Gateway/SuspectGuard.h"
#include "RouteServing/Gateway/UpstreamAttempt.h"
#include "RouteServing/Routing/Admission.h"
#include "RouteServing/Routing/RequestIdentity.h"

#include <optional>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// What one request has to do with suspects, from its admission to its end: whether it may be sent on, and what its
// attempts did to their upstreams. Belongs to the fiber of the request. Costs nothing while nobody is suspected.
class SuspectCheck {
public:
    // What all requests share.
    struct Parts {
        const Routing::RequestHasher& hasher;
        CrashDetector& crashDetector;
        SuspectGuard& guard;
    };

    SuspectCheck(const Parts&, Common::HttpExchange&);
    // Gives its turn back; what its upstream did may still be being found out.
    ~SuspectCheck();
    SuspectCheck(const SuspectCheck&) = delete;
    SuspectCheck& operator=(const SuspectCheck&) = delete;

    // Who asks; must be set before the rest. Empty where no key is needed.
    void setWorkspace(std::string workspace) { m_workspace = std::move(workspace); }

    // Asked before each attempt. Waits while another run of a suspect goes on, until the deadline at most; why the
    // request must not be sent on at all.
    std::optional<Routing::Refusal> await(const std::string& requestId, Common::TimePoint deadline);
    // It has the one run of the whole fleet, and takes as little with it as it can.
    bool runsExclusively() const { return m_runsExclusively; }

    // An attempt failed that was sent at that time.
    void recordFailure(const std::string& requestId, const UpstreamAttempt&, Common::TimePoint sent);
    // Whether the router should leave it at that. A second upstream may have crashed under it, and another attempt
    // would take a third one with all that runs there.
    bool forbidsRetry();
    // A run has ended well. A request that ever does is innocent, whatever crashed beside it.
    void recordCompleted();

    // Once an attempt was ended by its upstream.
    const std::optional<Routing::RequestIdentity>& knownIdentity() const { return m_identity; }

private:
    Routing::RequestTraits traits() const;
    const Routing::RequestIdentity& identity();
    bool mayBeSuspect() const;
    void logHeld(const std::string& requestId);

    const Parts m_parts;
    Common::HttpExchange& m_exchange;
    std::string m_workspace;
    std::optional<Routing::RequestIdentity> m_identity; // Hashed when it is first needed.
    bool m_runsExclusively { false };
    bool m_upstreamDisconnected { false }; // The last attempt was ended by its upstream, or by the way to it.
};

} // namespace Brassladder::RouteServing::Gateway
