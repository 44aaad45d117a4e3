// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/RestPolicy.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using Common::ErrorKind;
using namespace std::chrono_literals;

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
