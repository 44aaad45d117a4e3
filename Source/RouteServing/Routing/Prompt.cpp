// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/Prompt.h"

namespace Brassladder::RouteServing::Routing {

uint32_t Prompt::sharedTokens() const
{
    uint32_t shared = 0;
    for (size_t i = 0; i + 1 < parts.size(); ++i)
        shared += parts[i].tokens;
    return shared;
}

} // namespace Brassladder::RouteServing::Routing
