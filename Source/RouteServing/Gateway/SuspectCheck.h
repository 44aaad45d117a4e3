// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpExchange.h"
#include "RouteServing/Gateway/CrashDetector.h"
#include "RouteServing/Gateway/SuspectGuard.h"
#include "RouteServing/Gateway/UpstreamAttempt.h"
#include "RouteServing/Routing/Admission.h"
#include "RouteServing/Routing/Prompt.h"
#include "RouteServing/Routing/RequestIdentity.h"

#include <optional>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// Checks one request and the parts of its prompt against the suspects, from its admission to its end: decides whether
// it may be sent, and records how its attempts ended. Used only by the fiber of the request. While there are no
// suspects, `awaitPermission` only checks that the ledger is empty.
class SuspectCheck {
public:
    // Components that all requests share.
    struct Parts {
        const Routing::RequestHasher& hasher;
        CrashDetector& crashDetector;
        SuspectGuard& guard;
    };

    SuspectCheck(const Parts&, Common::HttpExchange&);
    // Releases an exclusive run; the check whether its upstream crashed may still be pending.
    ~SuspectCheck();
    SuspectCheck(const SuspectCheck&) = delete;
    SuspectCheck& operator=(const SuspectCheck&) = delete;

    // Sets the workspace of the caller, before any other call. Empty if the route requires no key.
    void setWorkspace(std::string workspace) { m_workspace = std::move(workspace); }
    // Sets the prompt of a generation. Both must outlive this object.
    void setPrompt(const std::string& service, const Routing::Prompt& prompt);

    // Must be called before each attempt. Waits while another run of a suspect is in progress, until the deadline at
    // most. Returns a refusal if the request must not be sent.
    std::optional<Routing::Refusal> awaitPermission(const std::string& requestId, Common::TimePoint deadline);
    // Whether this run of the request is exclusive. It is then placed at an upstream with few other requests.
    bool runsExclusively() const { return m_claimed.has_value(); }
    // Returns whether the request must ask for permission again, because a suspect in it has become restricted since.
    // Must be called right before the send.
    bool isRestricted();

    // Records a failed attempt. `sent`: when the attempt was placed.
    void recordFailure(const std::string& requestId, const UpstreamAttempt&, Common::TimePoint sent);
    // Whether the router must not retry: the upstream disconnected, and the request is a suspect. Another attempt could
    // crash one more upstream, with all requests in flight there.
    bool forbidsRetry();
    // Records a run that completed. This clears the request, because one that crashes upstreams never completes. If
    // `isWholeRun`, the upstream wrote all of the response to this attempt, which also clears the parts of the prompt.
    // `sent`: when the attempt was placed.
    void recordCompleted(const std::string& requestId, const UpstreamAttempt&, Common::TimePoint sent, bool isWholeRun);

    // Records that the run has lasted for `longRunTime`, which clears the parts of the prompt as a run that completed.
    void recordLongRun(const UpstreamAttempt&);

    // The request's identity, if it was computed.
    const std::optional<Routing::RequestIdentity>& knownIdentity() const { return m_identity; }

private:
    Routing::RequestTraits traits() const;
    const Routing::RequestIdentity& identity();
    // Returns the identities of the parts that other requests may share, at upstreams of this software version.
    std::vector<Routing::RequestIdentity> promptParts(std::string_view softwareVersion) const;
    bool mayBeSuspect() const;
    Routing::InterruptedAttempt interruptedAttempt(
        const std::string& requestId, const UpstreamAttempt&, Common::TimePoint sent);
    // Returns what may be among the suspects.
    Routing::SuspectLedger::Subject subject();
    void logHeld(const std::string& requestId, const Routing::RequestIdentity& suspect);

    const Parts m_parts;
    Common::HttpExchange& m_exchange;
    std::string m_workspace;
    std::string_view m_service;
    const Routing::Prompt* m_prompt { nullptr }; // Null if the request is no generation.
    std::optional<Routing::RequestIdentity> m_identity; // Computed on first use.
    std::optional<Routing::RequestIdentity> m_claimed; // The suspect that runs exclusively.
    bool m_upstreamDisconnected { false }; // The last attempt was closed or reset by the upstream or by the network.
};

} // namespace Brassladder::RouteServing::Gateway
