// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/Admission.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::ErrorKind;

namespace {

RouteTable tableWithKeys()
{
    Route keyed;
    keyed.name = "keyed";
    keyed.host = "h";
    keyed.pathPrefix = "/k/";
    keyed.timeout = 3000ms;
    Route open = keyed;
    open.name = "open";
    open.pathPrefix = "/o/";
    open.isAnonymous = true;
    return RouteTable::Builder().route(keyed).route(open).workspace({ "w", std::nullopt }, { "key" }).build();
}

} // namespace

// Each row fails one check and passes those before it.
TEST(AdmissionTest, TheFirstFailedCheckDeterminesTheRefusal)
{
    auto table = tableWithKeys();
    struct Case {
        RouterState state;
        RequestTarget target;
        std::optional<ErrorKind> refusal;
        bool hasRoute;
    };
    for (const auto& each :
        std::vector<Case> { { { true, &table, true, true }, { "h", "/k/", "key" }, ErrorKind::Draining, false },
            { { false, nullptr, true, true }, { "h", "/k/", "key" }, ErrorKind::NotReady, false },
            { { false, &table, false, true }, { "h", "/k/", "key" }, ErrorKind::NotReady, false },
            { { false, &table, true, true }, { "x", "/k/", "key" }, ErrorKind::UnknownRoute, false },
            { { false, &table, true, false }, { "h", "/k/", "key" }, ErrorKind::PlatformUnavailable, true },
            { { false, &table, true, true }, { "h", "/k/", "other" }, ErrorKind::Unauthenticated, true },
            { { false, &table, true, true }, { "h:80", "/k/", "key" }, std::nullopt, true },
            { { false, &table, true, false }, { "h", "/o/", "" }, std::nullopt, true } }) {
        auto admission = admit(each.state, each.target);
        auto refusal = admission.refusal ? std::optional(admission.refusal->kind) : std::nullopt;
        EXPECT_EQ(refusal, each.refusal) << each.target.path << " " << each.target.key;
        EXPECT_EQ(admission.route != nullptr, each.hasRoute);
    }
}

TEST(AdmissionTest, TheWorkspaceIsThatOfTheKey)
{
    auto table = tableWithKeys();
    auto admission = admit({ false, &table, true, true }, { "h", "/k/x", "key" });
    ASSERT_TRUE(admission.workspace);
    EXPECT_EQ(admission.workspace->name, "w");
    EXPECT_FALSE(admit({ false, &table, true, true }, { "h", "/o/", "key" }).workspace) << "anonymous route";
}

TEST(AdmissionTest, ALeaseThatExpiresLaterStopsOnlyRequestsThatNeededAKey)
{
    auto table = tableWithKeys();
    const auto* workspace = table.workspaceOfKey("key");
    auto refusal = revalidateKey(table, workspace, "key", false);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->kind, ErrorKind::PlatformUnavailable);
    EXPECT_FALSE(revalidateKey(table, workspace, "key", true));
    EXPECT_FALSE(revalidateKey(table, admit({ false, &table, true, false }, { "h", "/o/", "" }).workspace, "", false))
        << "anonymous route";
    auto withoutWorkspaces = RouteTable::Builder().build();
    EXPECT_FALSE(revalidateKey(withoutWorkspaces, nullptr, "", false));
}

// The request was admitted for workspace "w" by its key "key"; then another table came into force.
TEST(AdmissionTest, AKeyIsUsedOnlyWhileItsWorkspaceHoldsItInTheTableInForce)
{
    auto admitting = tableWithKeys();
    const auto* workspace = admitting.workspaceOfKey("key");
    ASSERT_TRUE(workspace);
    struct Case {
        RouteTable inForce;
        std::optional<ErrorKind> refusal;
    };
    auto table = [](std::string_view name, std::string_view key) {
        return RouteTable::Builder().workspace({ std::string(name), std::nullopt }, { std::string(key) }).build();
    };
    for (const auto& [inForce, expected] : std::vector<Case> {
             { table("w", "key"), std::nullopt }, // Without the route: an admitted request keeps its route.
             { table("w", "other"), ErrorKind::Unauthenticated },
             { table("v", "key"), ErrorKind::PlatformUnavailable },
             { RouteTable::Builder().build(), ErrorKind::PlatformUnavailable },
         }) {
        auto refusal = revalidateKey(inForce, workspace, "key", true);
        EXPECT_EQ(refusal ? std::optional(refusal->kind) : std::nullopt, expected);
        EXPECT_FALSE(revalidateKey(inForce, nullptr, "", true)) << "admitted without a key";
    }
}

TEST(AdmissionTest, TheShorterTimeoutApplies)
{
    Route route;
    route.timeout = 3000ms;
    EXPECT_EQ(requestTimeout(route, std::nullopt), 3000ms);
    EXPECT_EQ(requestTimeout(route, 500ms), 500ms);
    EXPECT_EQ(requestTimeout(route, 9000ms), 3000ms);
}

TEST(AdmissionTest, ServicesAreDrawnByTheirWeights)
{
    Route route;
    EXPECT_EQ(pickService(route, 5), "");
    route.shares = { { "a", 3 }, { "b", 1 } };
    for (uint64_t random = 0; random < 8; ++random)
        EXPECT_EQ(pickService(route, random), random % 4 < 3 ? "a" : "b") << random;
    route.shares = { { "a", 0 }, { "b", 0 } };
    EXPECT_EQ(pickService(route, 1), "a") << "without weights the first service receives all requests";
}

} // namespace Brassladder::RouteServing::Routing
