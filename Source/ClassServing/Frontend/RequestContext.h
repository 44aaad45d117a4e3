// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Claims/ClaimFold.h"
#include "ClassServing/Config/Table.h"
#include "ClassServing/Dispatch/GrantClient.h"
#include "ClassServing/Frontend/Explanations.h"
#include "Common/HttpServer.h"

namespace Brassladder::ClassServing::Frontend {

// One classified request of a caller, from its arrival to its response. Belongs to its fiber.
struct RequestContext {
    Common::HttpExchange& exchange;
    std::string requestId;
    std::shared_ptr<const Config::Table> table; // Keeps `workspace` alive.
    const Config::Workspace* workspace { nullptr };
    std::shared_ptr<const Config::RequestClass> requestClass;
    std::optional<std::string> claimKey; // Digest of workspace and Idempotency-Key.
    std::optional<uint32_t> attempt; // Of the header Brassladder-Attempt, from 1.
    Common::TimePoint arrived;
    std::optional<Common::TimePoint> claimedAt; // When a claim was won or vouched for.
    std::shared_ptr<Explanation> explanation;
    std::shared_ptr<Dispatch::RequestSignal> signal;
    uint64_t prefix { 0 };
    bool relayed { false }; // A part of a response has gone to the caller.

    const Scheduling::ClassPolicy& policy() const { return requestClass->policy; }
};

inline constexpr std::string_view requestIdHeader = "Brassladder-Request-Id";

// Reads the workspace and the class of a request off its headers. Unauthenticated, ForbiddenClass, BadRequest.
Common::Result<RequestContext> classify(Common::HttpExchange&, std::shared_ptr<const Config::Table>, Explanations&);

} // namespace Brassladder::ClassServing::Frontend
