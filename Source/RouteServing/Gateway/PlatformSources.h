// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Inner/Mesh.h"
#include "RouteServing/Routing/Roster.h"
#include "RouteServing/Routing/RouteTable.h"
#include "RouteServing/Routing/Upstream.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// Where the gateway reads the platform's state, as hooks that an adapter fills. Each hook is called by one fiber at a
// time and may suspend it. The only error is PlatformUnavailable: the present state is not known.
namespace Brassladder::RouteServing::Gateway {

// One version of the configuration: compiled, and as the operators wrote it, to send it to other routers.
struct Configuration {
    Routing::RouteTable table;
    std::string text;
};
using ConfigurationPtr = std::shared_ptr<const Configuration>;

struct ConfigurationSource {
    // Waits up to `wait` for a version that it has not returned before; null when there is none. A value, also null,
    // confirms that no newer version had been accepted when the call was made.
    std::function<Common::Result<ConfigurationPtr>(Common::Milliseconds wait)> read;
    // Null when the text is not a configuration.
    std::function<ConfigurationPtr(std::string_view text)> parse;
};

// A whole list of upstreams, in the state of one moment.
using UpstreamListPtr = std::shared_ptr<const std::vector<Routing::UpstreamRecord>>;

struct UpstreamSource {
    // The present list, never null: the same object again as long as it has not changed.
    std::function<Common::Result<UpstreamListPtr>()> read;
};

// The routers of the fleet, as they announced themselves at their start. Those that have ended are still listed.
struct RosterSource {
    std::function<Common::Status(const Inner::Peer& self)> announce;
    // What changed since the last read; at the first one, all of it.
    std::function<Common::Result<std::vector<Routing::RosterEntry>>()> read;
};

struct PlatformSources {
    ConfigurationSource configuration;
    UpstreamSource upstreams;
    RosterSource roster;
};

} // namespace Brassladder::RouteServing::Gateway
