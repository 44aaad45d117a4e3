// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"
#include "Common/Settings.h"

#include <span>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// The settings of a router that serves routes, read from its table of rows.
struct GatewaySettings {
    std::string id;
    std::string failureDomain;
    std::string fleetKey;
    Common::Endpoint callers;
    Common::Endpoint readiness;
    Common::Endpoint metrics;
    Common::Endpoint inner;
    Common::Endpoint store;
    unsigned threads { 1 };
    size_t callerConnections { 2000 };

    // Bounds that the operators promise; mechanisms derive their pace from them.
    Common::Milliseconds configuration { 2000 }; // After this a new configuration is in force.
    Common::Milliseconds leaving { 2000 }; // After this a leaving upstream gets nothing new.
    Common::Milliseconds revocation { 0 }; // After this a withdrawn key is not used; zero: no such bound.
    Common::Milliseconds grace { 8000 }; // From SIGTERM until the process is killed.
    double retryRatio { 0.1 };
    Common::Milliseconds retryWindow { 10'000 };
    double retryAllowance { 0 };

    static std::span<const Common::SettingSpec> table();
    static GatewaySettings from(const Common::Settings&);
};

} // namespace Brassladder::RouteServing::Gateway
