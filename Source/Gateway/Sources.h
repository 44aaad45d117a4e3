// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Routing/RouteTable.h"
#include "Routing/UpstreamBoard.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

// Where the gateway learns what the platform knows, as hooks that an adapter fills. All are called by one fiber at a
// time and may suspend it. An error means that nothing is known of the moment; it is always PlatformUnavailable.
namespace Brassladder::Gateway {

struct ConfigurationSource {
    // Waits up to `wait` for a version that it has not returned before; null when there is none. A value, null too,
    // confirms that no newer version had been accepted when the call was made.
    std::function<Common::Result<std::shared_ptr<const Routing::RouteTable>>(Common::Milliseconds wait)> read;
};

struct UpstreamSource {
    // The list of upstreams as it is now; none when it has not changed since the last call.
    std::function<Common::Result<std::optional<std::vector<Routing::UpstreamRecord>>>()> read;
};

struct Sources {
    ConfigurationSource configuration;
    UpstreamSource upstreams;
};

} // namespace Brassladder::Gateway
