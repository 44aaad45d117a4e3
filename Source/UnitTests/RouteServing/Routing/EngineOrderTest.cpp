// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/EngineOrder.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

namespace {

std::vector<EngineState> enginesOf(std::span<const std::string> ids)
{
    std::vector<EngineState> engines;
    engines.reserve(ids.size());
    for (const auto& id : ids)
        engines.push_back({ id, 0, 0, 0, {}, false });
    return engines;
}

std::vector<std::string> orderedIds(EngineOrder& order, std::span<const std::string> ids)
{
    std::vector<std::string> ordered;
    for (size_t index : order.of(enginesOf(ids)))
        ordered.push_back(ids[index]);
    return ordered;
}

} // namespace

// Guards against a kept order that is used for another list of engines.
TEST(EngineOrderTest, EachListHasItsOrderWhateverCameBefore)
{
    const std::vector<std::vector<std::string>> lists { { "e1", "e2", "e3", "e4" }, { "e1", "e2", "e3", "e4" },
        { "e1", "e2", "e4" }, { "e4", "e2", "e1" }, {}, { "e1", "e2", "e3", "f4" }, { "e1", "e2", "e3", "e4", "e5" } };
    EngineOrder kept;
    for (const auto& ids : lists) {
        EngineOrder fresh;
        EXPECT_EQ(orderedIds(kept, ids), orderedIds(fresh, ids)) << ids.size();
    }
    EXPECT_EQ(orderedIds(kept, lists[2]), orderedIds(kept, lists[3])) << "the order does not depend on the list's own";
}

} // namespace Brassladder::RouteServing::Routing
