// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/EngineState.h"

#include <span>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// The fixed order of the engines of a service, by the hashes of their ids, which is the same at all routers. Keeps the
// last order, because the list of engines changes much less often than generations are placed. Not thread-safe.
class EngineOrder {
public:
    // Returns the indices of the engines in their order. The result is valid until the next call.
    std::span<const size_t> of(std::span<const EngineState>);

private:
    bool isCurrent(std::span<const EngineState>) const;

    std::vector<std::string> m_ids; // Of the last engines, as they were passed.
    std::vector<size_t> m_order;
};

} // namespace Brassladder::RouteServing::Routing
