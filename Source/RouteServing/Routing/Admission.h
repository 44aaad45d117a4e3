// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "RouteServing/Routing/RouteTable.h"

#include <optional>
#include <string>
#include <string_view>

// Decides whether a request is admitted and how long it may be held. Pure.
namespace Brassladder::RouteServing::Routing {

// A final response that the router generates itself.
struct Refusal {
    Common::ErrorKind kind { Common::ErrorKind::Internal };
    std::string reason; // For people; programs rely on the kind.
    Common::Milliseconds retryAfter { 0 }; // When the caller may retry. Zero means the default of the error kind.
};

// The router's state when a request arrives.
struct RouterState {
    bool refusesNewRequests { false }; // Set late in a planned stop: no new request is accepted.
    const RouteTable* table { nullptr }; // Null until the first configuration is loaded.
    bool hasUpstreamList { false };
    bool isKeyLeaseValid { false }; // See FreshnessLease.
};

struct RequestTarget {
    std::string_view host; // Value of the `Host` header; a port is ignored.
    std::string_view path; // Without the query.
    std::string_view key; // Empty if the request carries no key.
};

struct Admission {
    const Route* route { nullptr }; // Also set if the key was refused.
    const Workspace* workspace { nullptr }; // Null on anonymous routes and if the configuration has no workspaces.
    std::optional<Refusal> refusal; // Empty if the request is admitted.
};

// Checks, in this order: planned stop, configuration, route, key lease, key.
Admission admit(const RouterState&, const RequestTarget&);

// Checks again, before an attempt, whether the key of an admitted request is still valid. Returns nullopt if it is, or
// a refusal. A key may be revoked at any time, so the check uses the current table `inForce` and requires a valid key
// lease. `admittedWorkspace` is the workspace at admission; if it is null, the request needed no key and the check
// passes.
//
// Checks only the key. An admitted request keeps its route, even if a newer configuration changes or removes it.
std::optional<Refusal> revalidateKey(
    const RouteTable& inForce, const Workspace* admittedWorkspace, std::string_view key, bool isKeyLeaseValid);

// Returns how long a request may be held: the shorter of the route's timeout and the caller's timeout.
Common::Milliseconds requestTimeout(const Route&, std::optional<Common::Milliseconds> callerTimeout);

// Selects the service for a request by the weights of the route's shares. `random` is a uniformly distributed number.
std::string_view pickService(const Route&, uint64_t random);

} // namespace Brassladder::RouteServing::Routing
