// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/InterruptedAttempts.h"

namespace Brassladder::RouteServing::Routing {

bool InterruptedAttempts::add(const UpstreamIncarnation& incarnation, InterruptedAttempt attempt)
{
    auto& attempts = m_attempts[incarnation];
    attempts.push_back(std::move(attempt));
    return attempts.size() == 1;
}

std::vector<InterruptedAttempt> InterruptedAttempts::take(const UpstreamIncarnation& incarnation)
{
    auto found = m_attempts.extract(incarnation);
    return found ? std::move(found.mapped()) : std::vector<InterruptedAttempt> {};
}

} // namespace Brassladder::RouteServing::Routing
