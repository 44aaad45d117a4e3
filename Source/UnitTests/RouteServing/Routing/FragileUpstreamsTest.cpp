// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/FragileUpstreams.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);
constexpr RateStatement none {};

UpstreamRecord upstream(const std::string& id, const std::string& service = "desk")
{
    UpstreamRecord record;
    record.id = id;
    record.service = service;
    return record;
}

} // namespace

TEST(FragileUpstreamsTest, AnUpstreamIsFragileUntilAResponseToALaterRequestStatesNothing)
{
    FragileUpstreams fragile;
    EXPECT_EQ(fragile.recordStatement(upstream("u1"), none, s_now, s_now), StatementChange::None);
    EXPECT_FALSE(fragile.isActive());
    EXPECT_EQ(fragile.recordStatement(upstream("u1"), { 3 }, s_now, s_now), StatementChange::Stated);
    EXPECT_TRUE(fragile.isFragile(upstream("u1"), s_now));
    EXPECT_EQ(fragile.knownSince(statementKey(upstream("u1"))), s_now);
    fragile.recordStatement(upstream("u1"), none, s_now + 10ms, s_now + 20ms);
    EXPECT_TRUE(fragile.isFragile(upstream("u1"), s_now + 20ms)) << "responses may arrive out of order";
    EXPECT_EQ(fragile.recordStatement(upstream("u1"), none, s_now + 2s, s_now + 3s), StatementChange::Ended);
    EXPECT_FALSE(fragile.isFragile(upstream("u1"), s_now + 3s));
}

// Guards against the rush of all routers to an upstream that has just come back.
TEST(FragileUpstreamsTest, ANewUpstreamOfAFragileServiceIsFragileUntilItStatesNothing)
{
    FragileUpstreams fragile;
    fragile.recordStatement(upstream("u1"), { 3 }, s_now, s_now);
    EXPECT_TRUE(fragile.isFragile(upstream("u2"), s_now));
    EXPECT_FALSE(fragile.isFragile(upstream("u2", "other"), s_now));
    fragile.recordStatement(upstream("u2"), none, s_now + 1ms, s_now + 2ms);
    EXPECT_FALSE(fragile.isFragile(upstream("u2"), s_now + 2ms));
    EXPECT_TRUE(fragile.isFragile(upstream("u3"), s_now + 50s));
    EXPECT_FALSE(fragile.isFragile(upstream("u3"), s_now + 61s));
}

TEST(FragileUpstreamsTest, ToldByAPeerBindsAsAResponseDoes)
{
    FragileUpstreams told;
    auto key = statementKey(upstream("u1"));
    auto serviceOf = [](uint32_t) { return std::string("desk"); };
    told.merge(key, { 3, s_now, Common::TimePoint::min() }, serviceOf, s_now);
    EXPECT_TRUE(told.isFragile(upstream("u1"), s_now));
    EXPECT_TRUE(told.isFragile(upstream("u2"), s_now)) << "of the same service";
    ASSERT_EQ(told.known().size(), 1U);
    EXPECT_EQ(told.known().front().rate.perSecond, 3);
    told.merge(key, { 3, s_now, s_now + 2s }, serviceOf, s_now + 3s);
    told.merge(key, { 3, s_now - 1s, Common::TimePoint::min() }, serviceOf, s_now + 4s);
    EXPECT_FALSE(told.isFragile(upstream("u1"), s_now + 4s));
}

TEST(FragileUpstreamsTest, WhatHasEndedIsForgotten)
{
    FragileUpstreams fragile;
    fragile.recordStatement(upstream("u1"), { 3 }, s_now, s_now);
    fragile.recordStatement(upstream("u1"), none, s_now + 2s, s_now + 2s);
    fragile.evictExpired(s_now + 59s);
    EXPECT_TRUE(fragile.isActive());
    fragile.evictExpired(s_now + 61s);
    EXPECT_FALSE(fragile.isActive());
    fragile.recordStatement(upstream("u1"), { 3 }, s_now + 70s, s_now + 70s);
    fragile.evictExpired(s_now + 70s + 9min);
    EXPECT_TRUE(fragile.isFragile(upstream("u1"), s_now + 70s + 9min));
    fragile.evictExpired(s_now + 70s + 11min);
    EXPECT_FALSE(fragile.isActive());
}

TEST(FragileUpstreamsTest, AFragileUpstreamHoldsNoReplica)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("u1") });
    UpstreamRegistry::PlacementRequest request;
    request.service = "desk";
    request.excludesLimited = true;
    EXPECT_TRUE(registry.choose(request, s_now));
    registry.fragile().recordStatement(upstream("u1"), { 3 }, s_now, s_now);
    EXPECT_FALSE(registry.choose(request, s_now));
    request.excludesLimited = false;
    EXPECT_TRUE(registry.choose(request, s_now));
}

TEST(FragileUpstreamsTest, RequestsThatWaitForASlotAreNotCountedAsSent)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("u1") });
    UpstreamRegistry::PlacementRequest request;
    request.service = "desk";
    auto key = statementKey(upstream("u1"));
    auto first = *registry.choose(request, s_now);
    registry.recordStart(first);
    registry.recordStart(first);
    registry.recordWaiting(first, true);
    LoadsByUpstream peers;
    peers[shortHash("u1")].requests = 5;
    peers[shortHash("u1")].waiting = 2;
    registry.setPeerLoads(peers);
    EXPECT_EQ(registry.sentRequests(key), 4U);
    registry.recordWaiting(first, false);
    EXPECT_EQ(registry.sentRequests(key), 5U);
    EXPECT_EQ(registry.sentRequests(key + 1), 0U);
    EXPECT_EQ(registry.serviceOf(key), "desk");
}

} // namespace Brassladder::RouteServing::Routing
