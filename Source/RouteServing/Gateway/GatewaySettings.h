// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/ConnectionBudget.h"
#include "Common/Endpoint.h"
#include "Common/HttpExchange.h"
#include "Common/Settings.h"
#include "Common/TimeBudget.h"
#include "RouteServing/Duties/Lease.h"
#include "RouteServing/Duties/UsageReports.h"
#include "RouteServing/Routing/HomeRegions.h"
#include "RouteServing/Routing/RefreshIntervals.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// Settings of a router that serves routes, read from the settings table.
struct GatewaySettings {
    // Defaults of the settings table.
    static constexpr size_t defaultMaxConnections = 2000;
    // `ConfigApplyMs` of the site files.
    static constexpr Common::Milliseconds defaultConfigurationBound { 2000 };
    // `DrainMs` of the site files.
    static constexpr Common::Milliseconds defaultLeavingBound { 2000 };
    // `GraceS` of the site files.
    static constexpr Common::Milliseconds defaultGracePeriod { 8000 };
    // Half of `RetryRatio` of the site files.
    static constexpr double defaultRetryRatio = 0.1;
    // `RetryWindowS` of the site files.
    static constexpr Common::Milliseconds defaultRetryWindow { 10'000 };

    static constexpr size_t defaultMaxHeldRequests = 64;

    std::string id;
    std::string failureDomain;
    Routing::RegionsByDomain regions; // Of all failure domains.
    std::string fleetKey;
    Common::Endpoint callers;
    Common::Endpoint readiness;
    Common::Endpoint metrics;
    Common::Endpoint inner;
    std::vector<Common::Endpoint> seeds; // Routers that are asked for the roster at startup (Routing/StartPhase.h).
    unsigned capacity { 0 }; // Processor share of the instance, in thousandths of a core; 0 if unknown.
    bool isFirstStart { false }; // The whole fleet starts for the first time, before any traffic.
    Common::Endpoint store;
    unsigned threads { 1 };
    size_t maxConnections { defaultMaxConnections }; // Of all listeners together.
    size_t maxHeaderFields { Common::HttpLimits::defaultHeaderFields }; // Of a request.
    size_t memoryBytes { 0 }; // Memory of the instance; 0 if it is not stated.
    size_t descriptors { 0 }; // File descriptors of the process; 0 if they are not stated.

    // Bounds that the operators promise. Intervals and timeouts are derived from them (Routing/RefreshIntervals.h).
    Common::Milliseconds configurationBound { defaultConfigurationBound }; // Until a new configuration is active.
    Common::Milliseconds leavingBound { defaultLeavingBound }; // Until a leaving upstream gets no new requests.
    Common::Milliseconds revocationBound { 0 }; // Until a revoked key is no longer accepted; zero: no bound.
    Common::Milliseconds gracePeriod { defaultGracePeriod }; // From SIGTERM until the process is killed.
    double retryRatio { defaultRetryRatio };
    Common::Milliseconds retryWindow { defaultRetryWindow };
    double retryAllowance { 0 };

    // Admission under overload (Routing/OverloadPolicy.h).
    bool limitsOverload { true }; // False: every request is sent to an upstream at once.
    size_t maxHeldRequests { defaultMaxHeldRequests };

    // Calls that the platform accepts from one router at a time.
    struct Duties {
        Common::Endpoint platform; // Receives the calls of the holder of the duties.
        bool reportsUsage { false };
        bool ordersCapacity { false };
        RouteServing::Duties::LeaseTimes lease;
        RouteServing::Duties::UsageTimes usage;
    };
    std::optional<Duties> duties; // nullopt if the fleet has no duties.

    // Returns how often and how the platform's store is read to keep the bounds.
    Routing::RefreshIntervals refreshIntervals() const;
    // Returns the longest paths of the guarantees with a bound, in a fleet of `routers` routers.
    std::vector<Common::TimeBudget> timeBudgets(size_t routers) const;
    // Returns InvalidConfiguration if a bound is too short to be kept, whatever the size of the fleet.
    Common::Status checkBounds() const;

    // Returns what accepted connections may hold together.
    Common::ConnectionBudget::Capacity connectionCapacity() const;

    static std::span<const Common::SettingSpec> table();
    static GatewaySettings from(const Common::Settings&);
};

} // namespace Brassladder::RouteServing::Gateway
