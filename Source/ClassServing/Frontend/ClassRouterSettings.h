// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Upstream/EngineStream.h"
#include "Common/HttpServer.h"
#include "Common/Settings.h"

namespace Brassladder::ClassServing::Frontend {

// The settings of a router that serves classes. `table` lists their names, types, defaults and bounds.
struct ClassRouterSettings {
    std::string id;
    std::string failureDomain;
    std::string fleetKey;
    Common::Endpoint http;
    Common::Endpoint inner;
    Common::Endpoint log;
    Common::Endpoint instanceList;
    unsigned threads { 0 };
    Common::HttpLimits limits;
    Common::ConnectionBudget::Capacity connections; // What accepted connections may hold.
    Common::Milliseconds heartbeatInterval { 0 };
    Common::Milliseconds heartbeatTimeout { 0 };
    Common::Milliseconds listInterval { 0 };
    Common::Milliseconds loadInterval { 0 };
    Common::Milliseconds balancerRemovalDelay { 0 };
    Common::Milliseconds drainTimeout { 0 };
    uint32_t claimPartitions { 0 };
    Common::Milliseconds claimHorizon { 0 };
    Upstream::UpstreamTimeouts upstream;
    size_t explanations { 0 };

    static std::span<const Common::SettingSpec> table();
    static ClassRouterSettings from(const Common::Settings&);
};

} // namespace Brassladder::ClassServing::Frontend
