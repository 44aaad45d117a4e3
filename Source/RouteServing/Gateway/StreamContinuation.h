// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/Upstream.h"

#include <optional>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// Where the stream of one request may go on. What two software versions of the upstreams write does not fit together,
// and upstreams do not check it, so a stream goes on only at the version that sent its first event. Used only by the
// fiber of the request.
class StreamContinuation {
public:
    // Records the upstream of the first whole event that is relayed to the caller.
    void recordFirstEvent(const Routing::UpstreamRecord& upstream) { m_version = upstream.softwareVersion; }

    // Returns the only software version at which the stream may go on, or nullopt if it may begin at any. An empty
    // version is unknown: then no upstream may continue the stream.
    const std::optional<std::string>& requiredVersion() const { return m_version; }

private:
    std::optional<std::string> m_version;
};

} // namespace Brassladder::RouteServing::Gateway
