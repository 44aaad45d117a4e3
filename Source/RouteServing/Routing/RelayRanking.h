// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <functional>
#include <map>
#include <mutex>
#include <span>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// Chooses the routers through which this router connects to upstreams that it cannot reach itself. Spreads the tunnels
// over all routers that have not failed lately: the others carry the load of the routers that lost their links, and
// routers of one failure domain often lose them together. Thread-safe.
class RelayRanking {
public:
    // How long a router that opened no tunnel is tried only after the others.
    static constexpr Common::Milliseconds backoff { 1000 };

    // Returns up to `count` different routers in the order in which to try them. `random` returns a number below its
    // argument.
    std::vector<Common::Endpoint> choose(std::span<const Common::Endpoint> routers, size_t count, Common::TimePoint now,
        const std::function<size_t(size_t)>& random) const;
    void recordSuccess(const Common::Endpoint& router);
    // Records that the router refused a tunnel, did not reach the upstream, or did not respond in time.
    void recordFailure(const Common::Endpoint& router, Common::TimePoint now);

private:
    mutable std::mutex m_mutex;
    std::map<Common::Endpoint, Common::TimePoint> m_failed; // The last failure since the last success.
};

} // namespace Brassladder::RouteServing::Routing
