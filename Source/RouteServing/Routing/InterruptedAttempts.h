// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/RequestIdentity.h"
#include "RouteServing/Routing/Upstream.h"

#include <map>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// An attempt that was in flight at an upstream when its connection ended.
struct InterruptedAttempt {
    std::string requestId;
    RequestIdentity request;
    std::string workspace;
    std::string target; // Includes the query.
    Common::TimePoint sent;
    Common::TimePoint ended;
    std::vector<RequestIdentity> promptParts {}; // The parts that other requests may share.
    bool looksComplete { false }; // Its response ends with the connection, so a crash would look like its end.
};

// Collects the interrupted attempts of each upstream incarnation until the cause is determined. Not thread-safe.
class InterruptedAttempts {
public:
    // Adds an attempt. Returns whether it is the incarnation's first since the last call of `take`.
    bool add(const UpstreamIncarnation&, InterruptedAttempt);
    std::vector<InterruptedAttempt> take(const UpstreamIncarnation&);

private:
    std::map<UpstreamIncarnation, std::vector<InterruptedAttempt>> m_attempts;
};

} // namespace Brassladder::RouteServing::Routing
