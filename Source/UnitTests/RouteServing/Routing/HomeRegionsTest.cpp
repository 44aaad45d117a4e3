// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/UpstreamRegistry.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);
const RegionsByDomain s_regions { { "tunis-a", "north" }, { "tunis-b", "north" }, { "sfax-a", "south" } };

} // namespace

TEST(HomeRegionsTest, RouteAndWorkspaceBothRestrict)
{
    EXPECT_FALSE(allowedDomains(s_regions, {}, {}));
    EXPECT_EQ(allowedDomains(s_regions, { { "north" } }, {}), (DomainSet { "tunis-a", "tunis-b" }));
    EXPECT_EQ(allowedDomains(s_regions, {}, { { "south" } }), (DomainSet { "sfax-a" }));
    EXPECT_EQ(allowedDomains(s_regions, { { "north", "south" } }, { { "south" } }), (DomainSet { "sfax-a" }));
    EXPECT_EQ(allowedDomains(s_regions, { { "north" } }, { { "south" } }), DomainSet {});
}

// Guards against a restriction that becomes wider because something is missing.
TEST(HomeRegionsTest, AnEmptyListAndUnknownRegionsAllowNothing)
{
    EXPECT_EQ(allowedDomains(s_regions, std::vector<std::string>(), {}), DomainSet {});
    EXPECT_EQ(allowedDomains(s_regions, { { "east" } }, {}), DomainSet {});
    EXPECT_EQ(allowedDomains({}, { { "north" } }, {}), DomainSet {});
}

TEST(HomeRegionsTest, ARestrictedRequestIsPlacedOnlyInItsRegions)
{
    UpstreamRegistry registry("sfax-a");
    registry.setUpstreams({ { "u1", "shop", { "127.0.0.1", 1 }, "tunis-a", 6, false },
        { "u2", "shop", { "127.0.0.1", 2 }, "sfax-a", 6, false },
        { "u3", "shop", { "127.0.0.1", 3 }, "elsewhere", 6, false } });
    auto allowed = allowedDomains(s_regions, { { "north" } }, {});
    UpstreamRegistry::PlacementRequest request;
    request.service = "shop";
    request.allowedDomains = &*allowed;
    for (int draw = 0; draw < 20; ++draw)
        EXPECT_EQ(registry.choose(request, s_now)->upstream.id, "u1");
    DomainSet none;
    request.allowedDomains = &none;
    EXPECT_FALSE(registry.choose(request, s_now));
    EXPECT_FALSE(registry.hasHealthyUpstream(request, s_now));
}

} // namespace Brassladder::RouteServing::Routing
