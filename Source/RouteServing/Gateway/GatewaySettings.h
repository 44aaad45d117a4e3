// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Common/Settings.h"
#include "RouteServing/Duties/Lease.h"
#include "RouteServing/Duties/UsageReports.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// The settings of a router that serves routes, read from its table of rows.
struct GatewaySettings {
    // Defaults of the table. The bounds are the users' present ones (their site files); the rest was chosen, not
    // measured.
    static constexpr size_t defaultCallerConnections = 2000;
    // `ConfigApplyMs` of the users' site files.
    static constexpr Common::Milliseconds defaultConfigurationBound { 2000 };
    // `DrainMs` of the users' site files.
    static constexpr Common::Milliseconds defaultLeavingBound { 2000 };
    // `GraceS` of the users' site files.
    static constexpr Common::Milliseconds defaultGracePeriod { 8000 };
    // Half of the users' `RetryRatio`. Chosen, not measured.
    static constexpr double defaultRetryRatio = 0.1;
    // `RetryWindowS` of the users' site files.
    static constexpr Common::Milliseconds defaultRetryWindow { 10'000 };

    std::string id;
    std::string failureDomain;
    std::string fleetKey;
    Common::Endpoint callers;
    Common::Endpoint readiness;
    Common::Endpoint metrics;
    Common::Endpoint inner;
    std::vector<Common::Endpoint> seeds; // Routers to ask for the others at the start (Routing/StartPhase.h).
    bool isFirstStart { false }; // Of the whole fleet: nobody is served yet.
    Common::Endpoint store;
    unsigned threads { 1 };
    size_t callerConnections { defaultCallerConnections };

    // Bounds that the operators promise; intervals and timeouts follow from them (Routing/RefreshIntervals.h).
    Common::Milliseconds configurationBound {
        defaultConfigurationBound
    }; // After this a new configuration is in force.
    Common::Milliseconds leavingBound { defaultLeavingBound }; // After this a leaving upstream gets nothing new.
    Common::Milliseconds revocationBound { 0 }; // After this a withdrawn key is not used; zero: no such bound.
    Common::Milliseconds gracePeriod { defaultGracePeriod }; // From SIGTERM until the process is killed.
    double retryRatio { defaultRetryRatio };
    Common::Milliseconds retryWindow { defaultRetryWindow };
    double retryAllowance { 0 };

    // What the platform accepts from one router at a time.
    struct Duties {
        Common::Endpoint platform; // Where it takes the holder's calls.
        bool reportsUsage { false };
        bool ordersCapacity { false };
        RouteServing::Duties::LeaseTimes lease;
        RouteServing::Duties::UsageTimes usage;
    };
    std::optional<Duties> duties; // None: the fleet has none.

    static std::span<const Common::SettingSpec> table();
    static GatewaySettings from(const Common::Settings&);
};

} // namespace Brassladder::RouteServing::Gateway
