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

// What the metrics of all routers that serve routes say of the fleet. Pure.
namespace Brassladder::Operator {

// One router, as its metrics tell.
struct RouterView {
    Common::Endpoint metrics;
    bool isHub { false };
    bool readsStore { false };
    uint64_t configurationVersion { 0 }; // 0: none yet.
    double configurationAgeSeconds { 0 }; // Since it was confirmed to be the newest.
    double upstreamsAgeSeconds { 0 };
    uint64_t fleetSize { 0 }; // Routers that it knows, itself included; 0 before it knows them.
    uint64_t storeCalls { 0 }; // Since its start.
    uint64_t upstreamsInCooldown { 0 }; // That have asked this router for rest.
    uint64_t limitedUpstreams { 0 }; // That have named a limit for all routers together.
    uint64_t dutiesToken { 0 }; // The fencing token under which it does the fleet's duties; 0: it does not hold them.
    uint64_t usageReportedBefore { 0 }; // Usage windows before this one are reported or given up, as far as it knows.
};

// From a response in Prometheus' text format. None when it is of no router that serves routes.
std::optional<RouterView> parseRouterView(const Common::Endpoint& metrics, std::string_view text);

// Why a router is behind the others: an older configuration, or state that was confirmed longer ago than `maxAge`.
// Empty when it is not.
std::string staleReason(const RouterView&, std::span<const RouterView> fleet, Common::Milliseconds maxAge);

} // namespace Brassladder::Operator
