// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/Fate.h"

namespace Brassladder::RouteServing::Routing {

std::string_view name(Fate fate)
{
    switch (fate) {
    case Fate::NotSent:
        return "not_sent";
    case Fate::Refused:
        return "refused";
    case Fate::MaybeRan:
        return "maybe_ran";
    case Fate::Ran:
        return "ran";
    }
    return "maybe_ran";
}

} // namespace Brassladder::RouteServing::Routing
