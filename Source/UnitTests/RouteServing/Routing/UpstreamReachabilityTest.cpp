// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/UpstreamReachability.h"

#include <gtest/gtest.h>

// Guards against taking one's own lost links for dead upstreams, and dead upstreams for lost links.
namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

const Common::Endpoint first { "10.0.0.1", 1 };
const Common::Endpoint second { "10.0.0.2", 1 };
const Common::Endpoint third { "10.0.0.3", 1 };
const Common::TimePoint start { 1h };

} // namespace

TEST(UpstreamReachabilityTest, OneUpstreamThatFailsIsNoLostLink)
{
    UpstreamReachability links;
    for (int failure = 0; failure < 5; ++failure)
        links.recordDirectFailure(first, start);
    EXPECT_FALSE(links.areLinksSuspect(start));
    EXPECT_FALSE(links.isLinkLost(first, start));
}

TEST(UpstreamReachabilityTest, SeveralFailuresInARowMakeLinksSuspectUntilOneIsReached)
{
    UpstreamReachability links;
    links.recordDirectFailure(first, start);
    links.recordDirectFailure(second, start);
    EXPECT_TRUE(links.areLinksSuspect(start));
    EXPECT_FALSE(links.areAllLinksLost(start)) << "nobody has reached them";
    links.recordDirect(third, start);
    EXPECT_FALSE(links.areLinksSuspect(start));
    links.recordDirectFailure(first, start);
    links.recordDirectFailure(second, start);
    EXPECT_FALSE(links.areLinksSuspect(start + UpstreamReachability::evidenceLifetime));
}

TEST(UpstreamReachabilityTest, AnUpstreamThatOnlyOthersReachIsConnectedThroughThem)
{
    UpstreamReachability links;
    links.recordRelayed(first, true, start);
    EXPECT_TRUE(links.isLinkLost(first, start));
    EXPECT_FALSE(links.isLinkLost(second, start)) << "only some links may be lost";
    EXPECT_FALSE(links.isLinkLost(first, start + UpstreamReachability::evidenceLifetime));
}

TEST(UpstreamReachabilityTest, AllLinksAreLostWhileSeveralUpstreamsAreReachedByOthersOnly)
{
    UpstreamReachability links;
    links.recordRelayed(first, true, start);
    links.recordRelayed(second, true, start);
    EXPECT_TRUE(links.areAllLinksLost(start));
    EXPECT_TRUE(links.isLinkLost(third, start)) << "applies to upstreams that were not tried yet";
    links.recordDirect(third, start);
    EXPECT_FALSE(links.areAllLinksLost(start));
    EXPECT_FALSE(links.isLinkLost(third, start));
    EXPECT_TRUE(links.isLinkLost(first, start)) << "its own link may still be lost";
    // Requests through other routers that attempt no direct connection show nothing new.
    links.recordRelayed(first, false, start);
    links.recordRelayed(second, false, start);
    EXPECT_FALSE(links.areAllLinksLost(start));
}

TEST(UpstreamReachabilityTest, AnUpstreamThatNobodyReachesIsNoLostLink)
{
    UpstreamReachability links;
    links.recordRelayed(first, true, start);
    links.recordUnreachable(first);
    EXPECT_FALSE(links.isLinkLost(first, start));
}

TEST(UpstreamReachabilityTest, EachUpstreamIsProbedAtTheInterval)
{
    UpstreamReachability links;
    EXPECT_TRUE(links.takeProbe(first, start));
    EXPECT_FALSE(links.takeProbe(first, start + UpstreamReachability::probeInterval - 1ms));
    EXPECT_TRUE(links.takeProbe(second, start));
    EXPECT_TRUE(links.takeProbe(first, start + UpstreamReachability::probeInterval));
}

} // namespace Brassladder::RouteServing::Routing
