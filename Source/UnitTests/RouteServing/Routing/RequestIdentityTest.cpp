// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/RequestIdentity.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

namespace {

RequestTraits someRequest() { return { "w", "POST", "h.example", "/chat/x?lang=es", "the body" }; }

} // namespace

TEST(RequestIdentityTest, TheSameRequestFromTheSameCallerHasTheSameIdentity)
{
    RequestHasher here("key");
    RequestHasher there("key");
    EXPECT_EQ(here.identity(someRequest()), there.identity(someRequest()));
    EXPECT_EQ(here.identity(someRequest()).text().size(), 32U);
    EXPECT_EQ(here.identity(someRequest()).headHash, here.headHash(someRequest()));
}

TEST(RequestIdentityTest, AnotherCallerMethodTargetQueryOrBodyIsAnotherRequest)
{
    RequestHasher hasher("key");
    auto known = hasher.identity(someRequest());
    auto other = [&](auto change) {
        auto request = someRequest();
        change(request);
        return hasher.identity(request);
    };
    EXPECT_NE(known, other([](auto& request) { request.workspace = "v"; }));
    EXPECT_NE(known, other([](auto& request) { request.method = "PUT"; }));
    EXPECT_NE(known, other([](auto& request) { request.host = "i.example"; }));
    EXPECT_NE(known, other([](auto& request) { request.target = "/chat/y?lang=es"; }));
    EXPECT_NE(known, other([](auto& request) { request.target = "/chat/x?lang=en"; }));
    EXPECT_NE(known, other([](auto& request) { request.body = "the bodY"; }));
    EXPECT_NE(known, other([](auto& request) { request.body = ""; }));
    EXPECT_EQ(known, other([](auto& request) { request.host = "h.example:8080"; }));
}

// The hash covers the boundaries of the parts, so moving bytes from one part to the next changes it.
TEST(RequestIdentityTest, PartBoundariesChangeTheHash)
{
    RequestHasher hasher("key");
    EXPECT_NE(hasher.headHash({ "ab", "c", "h", "/", "" }), hasher.headHash({ "a", "bc", "h", "/", "" }));
}

TEST(RequestIdentityTest, TheIdentityDependsOnTheFleetKey)
{
    EXPECT_NE(RequestHasher("key").identity(someRequest()), RequestHasher("another").identity(someRequest()));
}

} // namespace Brassladder::RouteServing::Routing
