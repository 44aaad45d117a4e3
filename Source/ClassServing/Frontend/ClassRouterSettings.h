// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Upstream/EngineStream.h"
#include "Common/HttpServer.h"
#include "Common/Settings.h"

namespace Brassladder::ClassServing::Frontend {

// The router's settings, read from its table of rows.
struct ClassRouterSettings {
    std::string id;
    std::string failureDomain;
    std::string fleetKey;
    Common::Endpoint http;
    Common::Endpoint inner;
    Common::Endpoint log;
    Common::Endpoint instanceList;
    unsigned threads { 2 };
    Common::HttpLimits limits;
    Common::Milliseconds heartbeat { 250 };
    Common::Milliseconds silence { 1500 };
    Common::Milliseconds listInterval { 500 };
    Common::Milliseconds loadInterval { 500 };
    Common::Milliseconds drainLag { 2000 };
    Common::Milliseconds drainLimit { 300'000 };
    uint32_t claimPartitions { 2 };
    Common::Milliseconds claimHorizon { 0 };
    Upstream::UpstreamTimeouts upstream;
    size_t explanations { 4096 };

    static std::span<const Common::SettingSpec> table();
    static ClassRouterSettings from(const Common::Settings&);
};

} // namespace Brassladder::ClassServing::Frontend
