// SPDX-License-Identifier: Apache-2.0
#include "Routing/Prompt.h"

namespace Brassladder::Routing {

uint32_t Prompt::sharedTokens() const
{
    uint32_t shared = 0;
    for (size_t i = 0; i + 1 < parts.size(); ++i)
        shared += parts[i].tokens;
    return shared;
}

} // namespace Brassladder::Routing
