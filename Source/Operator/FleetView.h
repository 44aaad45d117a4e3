// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

// State of the fleet, from the metrics of routers that serve routes. Pure functions.
namespace Brassladder::Operator {

// State of one router, from its metrics.
struct RouterView {
    Common::Endpoint metrics;
    bool isHub { false };
    bool readsStore { false };
    uint64_t configurationVersion { 0 }; // 0: none yet.
    double configurationAgeSeconds { 0 }; // Time since the configuration was confirmed as the newest.
    double upstreamsAgeSeconds { 0 };
    uint64_t fleetSize { 0 }; // Number of known routers, itself included; 0 before the roster is known.
    uint64_t storeCalls { 0 }; // Since the start of the router.
    uint64_t upstreamsInCooldown { 0 }; // Upstreams whose Retry-After cooldown is active on this router.
    uint64_t limitedUpstreams { 0 }; // Upstreams that announced a limit for all routers together.
    uint64_t limitedWorkspaces { 0 }; // Workspaces over their share while their rank is short of capacity.
    uint64_t dutiesToken { 0 }; // Fencing token of the duties; 0: the router does not hold them.
    // All usage windows before this one are reported or abandoned, according to this router.
    uint64_t usageReportedBefore { 0 };
    // Least and greatest slowdown of all engines of all services; 0 if the router knows none.
    double leastSlowdown { 0 };
    double greatestSlowdown { 0 };
};

// Parses metrics in the Prometheus text format. Returns nullopt if they are not from a router that serves routes.
std::optional<RouterView> parseRouterView(const Common::Endpoint& metrics, std::string_view text);

// Returns why a router is behind: its configuration is older than that of another router, or its state was last
// confirmed more than `maxAge` ago. Returns an empty string if it is not behind.
std::string staleReason(const RouterView&, std::span<const RouterView> fleet, Common::Milliseconds maxAge);

} // namespace Brassladder::Operator
