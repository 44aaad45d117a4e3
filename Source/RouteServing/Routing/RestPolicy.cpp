// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/RestPolicy.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using Common::ErrorKind;
using namespace std::chrono_literals;

// The share of the objective that may have passed when the first upstream is back. Chosen; the ways are compared in
// docs/design/upstream-rest.md.
static constexpr int holdableParts = 2;

std::optional<Common::TimePoint> holdUntil(const RestingRequest& request, Common::TimePoint now)
{
    if (!request.firstReturn)
        return std::nullopt;
    auto last = std::min(request.arrived + request.objective / holdableParts, request.deadline);
    if (*request.firstReturn > last || *request.firstReturn <= now)
        return std::nullopt;
    return request.firstReturn;
}

Refusal refusalWithoutUpstream(std::optional<Common::TimePoint> firstReturn, bool mayHaveRun, Common::TimePoint now)
{
    if (mayHaveRun)
        return { ErrorKind::UpstreamBroken, "no upstream is left" };
    if (!firstReturn)
        return { ErrorKind::NoUpstream, "no upstream is left" };
    // Rounded up, so that nobody comes back a moment too early.
    auto untilBack = std::max(1ms, Common::toMilliseconds(*firstReturn - now) + 1ms);
    return { ErrorKind::UpstreamsResting, "every upstream has asked for rest", untilBack };
}

} // namespace Brassladder::RouteServing::Routing
