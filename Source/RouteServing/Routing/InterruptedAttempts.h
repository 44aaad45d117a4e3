// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/RequestIdentity.h"
#include "RouteServing/Routing/Upstream.h"

#include <map>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// An attempt that was under way at an upstream when its connection ended.
struct InterruptedAttempt {
    std::string requestId;
    RequestIdentity request;
    std::string workspace;
    std::string target; // With the query.
    Common::TimePoint sent;
    Common::TimePoint ended;
};

// Attempts that ended at one start of an upstream, until it is found out why. Not safe for several threads.
class InterruptedAttempts {
public:
    // True when it is the first one since the last call of `take`.
    bool add(const UpstreamIncarnation&, InterruptedAttempt);
    std::vector<InterruptedAttempt> take(const UpstreamIncarnation&);

private:
    std::map<UpstreamIncarnation, std::vector<InterruptedAttempt>> m_attempts;
};

} // namespace Brassladder::RouteServing::Routing
