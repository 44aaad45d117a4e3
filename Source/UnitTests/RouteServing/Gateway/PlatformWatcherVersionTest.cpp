// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/FiberRuntime.h"
#include "RouteServing/Gateway/PlatformWatcher.h"
#include "UnitTests/TestRuntime.h"

#include <atomic>
#include <gtest/gtest.h>
#include <thread>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;

namespace {

// A watcher whose watch functions do not run. Counts the decoded texts; each text consists of a version number.
struct WatcherFixture {
    static ConfigurationPtr decode(std::string_view text)
    {
        Routing::RouteTable::Builder builder;
        builder.version(std::stoul(std::string(text)));
        return std::make_shared<const Configuration>(Configuration { builder.build(), std::string(text) });
    }

    unsigned decoded { 0 };
    unsigned changes { 0 };
    Routing::FreshnessLease lease { 60s };
    Routing::UpstreamRegistry registry { "north" };
    PlatformWatcher watcher { { { {},
                                    [this](std::string_view text) {
                                        ++decoded;
                                        return decode(text);
                                    } },
                                  {}, {} },
        Routing::RefreshIntervals::within(3s, 3s), lease, registry };
};

} // namespace

// A peer may send the active version again, after a lost request or because another peer sent it first.
TEST(PlatformWatcherVersionTest, OnlyANewerConfigurationIsDecoded)
{
    WatcherFixture fixture;
    fixture.watcher.setOnChange([&] { ++fixture.changes; });
    auto confirmed = Common::now();
    fixture.watcher.updateConfigurationFromPeer(7, "7", confirmed);
    EXPECT_EQ(fixture.watcher.configuration()->table.version(), 7U);
    EXPECT_EQ(fixture.decoded, 1U);
    fixture.watcher.updateConfigurationFromPeer(7, "7", confirmed);
    fixture.watcher.updateConfigurationFromPeer(5, "5", confirmed);
    EXPECT_EQ(fixture.decoded, 1U) << "these versions are active already or older";
    EXPECT_EQ(fixture.changes, 1U);
    fixture.watcher.updateConfigurationFromPeer(9, "9", confirmed);
    EXPECT_EQ(fixture.watcher.configuration()->table.version(), 9U);
    EXPECT_EQ(fixture.decoded, 2U);
}

// A text of the active version is not decoded, but still confirms the configuration.
TEST(PlatformWatcherVersionTest, AVersionThatIsKnownIsConfirmedWithoutDecoding)
{
    WatcherFixture fixture;
    fixture.watcher.updateConfigurationFromPeer(7, "7", Common::now() - 50s);
    EXPECT_GE(fixture.lease.age(Common::now()), 50s);
    fixture.watcher.updateConfigurationFromPeer(7, "7", Common::now());
    EXPECT_LT(fixture.lease.age(Common::now()), 50s);
    EXPECT_EQ(fixture.decoded, 1U);
}

// Guards against requests that stop while a large configuration is decoded.
TEST(PlatformWatcherVersionTest, OtherFibersGoOnWhileAConfigurationIsDecoded)
{
    std::atomic<bool> hasRunOther { false };
    Routing::FreshnessLease lease { 60s };
    Routing::UpstreamRegistry registry { "north" };
    auto parse = [&](std::string_view text) {
        for (int step = 0; step < 2000 && !hasRunOther; ++step)
            std::this_thread::sleep_for(5ms);
        return hasRunOther ? WatcherFixture::decode(text) : nullptr;
    };
    PlatformWatcher watcher({ { {}, parse }, {}, {} }, Routing::RefreshIntervals::within(3s, 3s), lease, registry);
    testRuntime().call([&] {
        Common::FiberRuntime::spawnOnCurrentThread([&] { hasRunOther = true; });
        watcher.updateConfigurationFromPeer(7, "7", Common::now());
        return true;
    });
    EXPECT_EQ(watcher.activeVersion(), 7U);
}

// Guards against a router that decodes each of several versions that arrived in the meantime.
TEST(PlatformWatcherVersionTest, ASupersededVersionIsNotDecoded)
{
    std::atomic<bool> haveAllArrived { false };
    std::vector<std::string> decoded;
    Routing::FreshnessLease lease { 60s };
    Routing::UpstreamRegistry registry { "north" };
    auto parse = [&](std::string_view text) {
        for (int step = 0; step < 2000 && !haveAllArrived; ++step)
            std::this_thread::sleep_for(5ms);
        decoded.emplace_back(text);
        return WatcherFixture::decode(text);
    };
    PlatformWatcher watcher({ { {}, parse }, {}, {} }, Routing::RefreshIntervals::within(3s, 3s), lease, registry);
    testRuntime().call([&] {
        for (uint64_t version : { 7U, 8U, 9U })
            Common::FiberRuntime::spawnOnCurrentThread(
                [&, version] { watcher.updateConfigurationFromPeer(version, std::to_string(version), Common::now()); });
        Common::FiberRuntime::spawnOnCurrentThread([&] { haveAllArrived = true; });
        for (int step = 0; step < 2000 && watcher.activeVersion() < 9; ++step)
            Common::sleepFor(5ms);
        return true;
    });
    EXPECT_EQ(watcher.activeVersion(), 9U);
    // The background thread may begin with one of them before the others arrive.
    EXPECT_LE(decoded.size(), 2U);
    EXPECT_EQ(decoded.back(), "9");
}

} // namespace Brassladder::RouteServing::Gateway
