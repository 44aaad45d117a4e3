// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/BrokenAttempts.h"

namespace Brassladder::RouteServing::Routing {

bool BrokenAttempts::add(const UpstreamIncarnation& start, BrokenAttempt attempt)
{
    auto& attempts = m_attempts[start];
    attempts.push_back(std::move(attempt));
    return attempts.size() == 1;
}

std::vector<BrokenAttempt> BrokenAttempts::take(const UpstreamIncarnation& start)
{
    auto found = m_attempts.extract(start);
    return found ? std::move(found.mapped()) : std::vector<BrokenAttempt> {};
}

} // namespace Brassladder::RouteServing::Routing
