// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "RouteServing/Routing/RouteTable.h"

#include <optional>
#include <string>
#include <string_view>

// Whether a request is admitted, and until when it may be held. Pure: the caller passes in what it knows.
namespace Brassladder::RouteServing::Routing {

// A final response of the router's own.
struct Refusal {
    Common::ErrorKind kind { Common::ErrorKind::Internal };
    std::string reason; // For people; the kind is the contract.
    Common::Milliseconds retryAfter { 0 }; // When the caller may come back; zero: as the kind says.
};

// What the router knows at the moment when the request arrives.
struct RouterState {
    bool isStopping { false }; // Late in a planned stop: nothing new is begun.
    const RouteTable* table { nullptr }; // Null until a configuration is known.
    bool hasUpstreamList { false };
    bool isKeyLeaseValid { false }; // The lease of FreshnessLease.h holds.
};

struct RequestTarget {
    std::string_view host; // As in the `Host` header; a port is ignored.
    std::string_view path; // Without the query.
    std::string_view key; // Empty when the request shows none.
};

struct Admission {
    const Route* route { nullptr }; // Also set when the key is what was refused.
    const Workspace* workspace { nullptr }; // Null on anonymous routes and without workspaces.
    std::optional<Refusal> refusal; // None: the request is admitted.
};

// Checks, in this order: planned stop, configuration known, route, lease on the keys, key.
Admission admit(const RouterState&, const RequestTarget&);

// Why the key that a request was admitted with may not be used for an attempt now; none when it may. A key may be
// withdrawn at any time, also while an attempt runs, so it is judged by the table in force, and only while the lease
// holds. `admittedWorkspace`: the workspace at admission; null when no key was needed, which stays so.
//
// Only the key is judged again. The route is that of the admission: a request that was admitted is served to its end
// also when its route is dropped or changed meanwhile.
std::optional<Refusal> revalidateKey(
    const RouteTable& inForce, const Workspace* admittedWorkspace, std::string_view key, bool isKeyLeaseValid);

// How long a request may be held: the route's timeout, or less when its caller waits for less.
Common::Milliseconds requestTimeout(const Route&, std::optional<Common::Milliseconds> callerTimeout);

// The service that a request goes to, by the weights of the route's shares. `random`: any evenly distributed number.
std::string_view pickService(const Route&, uint64_t random);

} // namespace Brassladder::RouteServing::Routing
