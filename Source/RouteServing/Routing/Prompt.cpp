// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/Prompt.h"

namespace Brassladder::RouteServing::Routing {

uint32_t Prompt::sharedTokens() const
{
    uint32_t shared = 0;
    for (const auto& part : sharedParts())
        shared += part.tokens;
    return shared;
}

} // namespace Brassladder::RouteServing::Routing
