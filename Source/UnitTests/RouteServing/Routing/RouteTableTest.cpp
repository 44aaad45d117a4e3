// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/RouteTable.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

static Route route(std::string host, std::string prefix)
{
    Route result;
    result.name = host + prefix;
    result.host = std::move(host);
    result.pathPrefix = std::move(prefix);
    return result;
}

TEST(RouteTableTest, TheLongestMatchingPrefixIsSelected)
{
    auto table = RouteTable::Builder()
                     .route(route("a.example", "/x/"))
                     .route(route("a.example", "/x/y/"))
                     .route(route("b.example", "/"))
                     .build();
    struct Case {
        const char* host;
        const char* path;
        const char* route; // Null: none.
    };
    for (const auto& each : std::vector<Case> { { "a.example", "/x/y/z", "a.example/x/y/" },
             { "a.example", "/x/z", "a.example/x/" }, { "a.example", "/x", nullptr }, { "a.example", "/", nullptr },
             { "b.example", "/x/y/", "b.example/" }, { "c.example", "/x/", nullptr }, { "", "", nullptr } }) {
        const auto* found = table.find(each.host, each.path);
        EXPECT_EQ(found ? found->name : "", each.route ? each.route : "") << each.host << each.path;
    }
    EXPECT_EQ(table.routeCount(), 3U);
}

TEST(RouteTableTest, KeysMapToTheirWorkspace)
{
    auto table = RouteTable::Builder()
                     .workspace({ "shop", 1 }, { "k1", "k2" })
                     .workspace({ "office", std::nullopt }, { "k3" })
                     .build();
    ASSERT_TRUE(table.requiresKeys());
    EXPECT_EQ(table.workspaceOfKey("k2")->name, "shop");
    EXPECT_EQ(table.workspaceOfKey("k3")->name, "office");
    EXPECT_EQ(table.workspaceOfKey("k4"), nullptr);
    EXPECT_EQ(table.workspaceOfKey(""), nullptr);
    EXPECT_FALSE(RouteTable::Builder().build().requiresKeys());
}

TEST(RouteTableTest, OnlyRepeatableRoutesAndResumableStreamsMayRepeat)
{
    Route once = route("a", "/");
    EXPECT_FALSE(once.mayRepeat());
    once.isResumable = true;
    EXPECT_FALSE(once.mayRepeat()) << "resumable applies only to streams";
    once.kind = RouteKind::Stream;
    EXPECT_TRUE(once.mayRepeat());
    once.isResumable = false;
    EXPECT_FALSE(once.mayRepeat());
    once.kind = RouteKind::Repeatable;
    EXPECT_TRUE(once.mayRepeat());
}

// Guards against a placement that knows the bound of one route only, while the callers of another one share its
// engines.
TEST(RouteTableTest, TheShortestPauseBoundOfAServiceIsThatOfItsStreams)
{
    auto leadingTo
        = [](std::string prefix, RouteKind kind, Common::Milliseconds maxPause, std::vector<ServiceShare> shares) {
              Route result = route("a", std::move(prefix));
              result.kind = kind;
              result.maxPause = maxPause;
              result.shares = std::move(shares);
              return result;
          };
    auto table = RouteTable::Builder()
                     .route(leadingTo("/records/", RouteKind::Stream, 800ms, { { "model" }, { "trial" } }))
                     .route(leadingTo("/questions/", RouteKind::Stream, 200ms, { { "model" } }))
                     .route(leadingTo("/unbounded/", RouteKind::Stream, 0ms, { { "model" }, { "plain" } }))
                     .route(leadingTo("/whole/", RouteKind::OnceOnly, 100ms, { { "model" } }))
                     .build();
    EXPECT_EQ(table.shortestMaxPause("model"), 200ms);
    EXPECT_EQ(table.shortestMaxPause("trial"), 800ms);
    EXPECT_EQ(table.shortestMaxPause("plain"), 0ms) << "no stream states a bound";
    EXPECT_EQ(table.shortestMaxPause("unknown"), 0ms);
}

} // namespace Brassladder::RouteServing::Routing
