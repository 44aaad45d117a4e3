// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Claims/ClaimFold.h"
#include "ClassServing/Config/Table.h"
#include "ClassServing/Dispatch/GrantClient.h"
#include "ClassServing/Frontend/Explanations.h"
#include "Common/HttpServer.h"

namespace Brassladder::ClassServing::Frontend {

// The state of one classified request, from its arrival to its response. Used by the request's fiber.
struct RequestContext {
    Common::HttpExchange& exchange;
    std::string requestId;
    std::shared_ptr<const Config::Table> table; // Keeps `workspace` alive.
    const Config::Workspace* workspace { nullptr };
    std::shared_ptr<const Config::RequestClass> requestClass;
    std::optional<std::string> claimKey; // SHA-256 of workspace name and Idempotency-Key.
    std::optional<uint32_t> attempt; // From the header Brassladder-Attempt; starts at 1.
    Common::TimePoint arrivedAt;
    std::optional<Common::TimePoint> claimedAt; // When the claim was won, or skipped for a vouched first attempt.
    std::shared_ptr<Explanation> explanation;
    std::shared_ptr<Dispatch::RequestSignal> signal;
    uint64_t prefixHash { 0 };
    bool relayed { false }; // A part of the response was sent to the caller.

    const Scheduling::ClassPolicy& policy() const { return requestClass->policy; }
};

inline constexpr std::string_view requestIdHeader = "Brassladder-Request-Id";

// Determines the workspace and class of a request from its headers. Returns Unauthenticated, ForbiddenClass or
// BadRequest on failure.
Common::Result<RequestContext> classify(Common::HttpExchange&, std::shared_ptr<const Config::Table>, Explanations&);

} // namespace Brassladder::ClassServing::Frontend
