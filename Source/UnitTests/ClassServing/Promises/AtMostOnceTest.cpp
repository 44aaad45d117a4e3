// SPDX-License-Identifier: Apache-2.0
// Guards: a request that must not be repeated runs at most once, even if callers resend it to any router and components
// fail.
#include "Common/Precompiled.h"

#include "Common/Digest.h"
#include "UnitTests/ClassServing/Promises/PromiseCluster.h"

namespace Brassladder::ClassServing::Promises {

using namespace std::chrono_literals;

namespace {

struct AtMostOnceCase {
    const char* name;
    std::function<void(PromiseCluster&)> fail;
    std::function<void(PromiseCluster&)> recover;
};

std::ostream& operator<<(std::ostream& out, const AtMostOnceCase& each) { return out << each.name; }

class AtMostOnceTest : public testing::TestWithParam<AtMostOnceCase> { };

// Sends each key through all routers concurrently, and again in each round, like callers that received no response.
std::vector<CallRecord> callAllRoutersWithEachKey(
    PromiseCluster& cluster, const std::string& prefix, int keys, int rounds)
{
    std::vector<std::future<CallRecord>> calls;
    for (int round = 0; round < rounds; ++round) {
        for (int key = 0; key < keys; ++key) {
            for (const auto* router : { "router-1", "router-2", "router-3" })
                calls.push_back(cluster.callService(router, prefix + std::to_string(key)));
        }
        std::this_thread::sleep_for(50ms);
    }
    std::vector<CallRecord> history;
    history.reserve(calls.size());
    for (auto& call : calls)
        history.push_back(call.get());
    return history;
}

size_t wholeByKey(std::span<const CallRecord> history, const std::string& key)
{
    return std::count_if(
        history.begin(), history.end(), [&](const auto& record) { return record.key == key && record.isComplete; });
}

} // namespace

TEST_P(AtMostOnceTest, KeyRunsAtMostOnceThroughFailures)
{
    PromiseCluster cluster;
    cluster.publish(PromiseCluster::configuration());
    auto before = callAllRoutersWithEachKey(cluster, "before", 4, 2);
    auto during = std::async(std::launch::async, [&] { return callAllRoutersWithEachKey(cluster, "during", 12, 6); });
    std::this_thread::sleep_for(60ms);
    GetParam().fail(cluster);
    std::this_thread::sleep_for(500ms);
    GetParam().recover(cluster);
    auto history = during.get();
    auto after = callAllRoutersWithEachKey(cluster, "during", 12, 1);
    history.insert(history.end(), before.begin(), before.end());
    history.insert(history.end(), after.begin(), after.end());
    expectCorrectResponses(history);
    expectAccurateRunReports(cluster, history);
    for (int key = 0; key < 4; ++key)
        EXPECT_EQ(wholeByKey(history, "before" + std::to_string(key)), 1u)
            << "exactly one caller must receive the response";
    // A new key is served again after recovery.
    EXPECT_TRUE(cluster.await([&] { return cluster.callService("router-1", Common::randomId()).get().isComplete; }));
}

static void noRecovery(PromiseCluster&) { }
static void killOne(PromiseCluster& cluster) { cluster.kill("router-2"); }
static void logDown(PromiseCluster& cluster) { cluster.fault("log", { { "down", true } }); }
static void logUp(PromiseCluster& cluster) { cluster.fault("log", { { "down", false }, { "slow_ms", 0 } }); }
static void freezeOne(PromiseCluster& cluster) { cluster.freeze("router-2"); }
static void thawOne(PromiseCluster& cluster) { cluster.thaw("router-2"); }

INSTANTIATE_TEST_SUITE_P(Failures, AtMostOnceTest,
    testing::Values(AtMostOnceCase { "SameKeyAtAllRouters", noRecovery, noRecovery },
        AtMostOnceCase { "RouterKilled", killOne, noRecovery },
        AtMostOnceCase { "RouterFrozenAndWoken", freezeOne, thawOne }, AtMostOnceCase { "LogDown", logDown, logUp },
        AtMostOnceCase { "LogDownAndRouterKilled",
            [](PromiseCluster& cluster) {
                logDown(cluster);
                killOne(cluster);
            },
            logUp },
        AtMostOnceCase { "AppendAnswersLost",
            [](PromiseCluster& cluster) {
                cluster.fault("log", { { "lose_answers", 5 } });
            },
            noRecovery },
        AtMostOnceCase { "AppendAnswersLostAndRouterKilled",
            [](PromiseCluster& cluster) {
                cluster.fault("log", { { "lose_answers", 5 } });
                killOne(cluster);
            },
            noRecovery },
        AtMostOnceCase { "LogSlow",
            [](PromiseCluster& cluster) {
                cluster.fault("log", { { "slow_ms", 300 } });
            },
            logUp },
        AtMostOnceCase { "LogSlowAndRouterFrozen",
            [](PromiseCluster& cluster) {
                cluster.fault("log", { { "slow_ms", 200 } });
                freezeOne(cluster);
            },
            [](PromiseCluster& cluster) {
                logUp(cluster);
                thawOne(cluster);
            } },
        AtMostOnceCase { "ServiceAnswersLost",
            [](PromiseCluster& cluster) {
                cluster.fault("orders-1", { { "lose_answers", 6 } });
            },
            noRecovery },
        // The routers' membership views differ while router-2 is not listed.
        AtMostOnceCase { "RouterUnlisted", [](PromiseCluster& cluster) { cluster.setListed("router-2", ""); },
            [](PromiseCluster& cluster) { cluster.setListed("router-2", "live"); } }),
    [](const auto& info) { return std::string(info.param.name); });

TEST(LogOutageTest, KeyedCallsAreRefusedAndUnkeyedCallsAreServed)
{
    PromiseCluster cluster;
    cluster.publish(PromiseCluster::configuration());
    cluster.fault("log", { { "down", true } });
    EXPECT_TRUE(cluster.await(
        [&] { return cluster.callService("router-1", Common::randomId()).get().refusal == "claim_unavailable"; }));
    auto refused = cluster.callService("router-2", "k1").get();
    EXPECT_EQ(refused.refusal, "claim_unavailable");
    EXPECT_EQ(refused.ran, "no");
    auto vouched = cluster.callService("router-3", "k2", "vouched", "1").get();
    EXPECT_TRUE(vouched.isComplete) << "a vouched first attempt must run without the log: " << vouched.refusal;
    auto second = cluster.callService("router-2", "k2", "vouched", "2").get();
    EXPECT_EQ(second.refusal, "duplicate_key");
    EXPECT_EQ(second.ran, "maybe");
    auto unkeyed = cluster.runLoad({ PromiseCluster::service("stock", 50) }, 1).get();
    EXPECT_EQ(countWhole(unkeyed, "stock"), unkeyed.size());
    cluster.fault("log", { { "down", false } });
    EXPECT_TRUE(cluster.await([&] { return cluster.callService("router-1", "k1").get().isComplete; }))
        << "the key was refused as not run, so it must be free";
    // A later attempt with the vouched key still does not run, although the log has no claim for it.
    EXPECT_EQ(cluster.callService("router-1", "k2", "vouched", "2").get().refusal, "duplicate_key");
    auto runCounts = cluster.runCounts("by_key");
    EXPECT_EQ(runCounts["k1"], 1u);
    EXPECT_EQ(runCounts["k2"], 1u);
}

TEST(RetentionTest, KeyDoesNotRunAgainAfterTheLogDropsItsClaim)
{
    PromiseCluster cluster({ 1, 1, 2 });
    cluster.publish(PromiseCluster::configuration());
    EXPECT_TRUE(cluster.callService("router-1", "kept").get().isComplete);
    cluster.fault("log", { { "retention_ms", 1000 } });
    std::this_thread::sleep_for(1500ms);
    // By now the log has dropped the claim. A new router replaces those that still hold it in memory.
    cluster.addRouter("router-3");
    cluster.awaitReady();
    cluster.kill("router-1");
    cluster.kill("router-2");
    EXPECT_FALSE(cluster.callService("router-3", "kept").get().isComplete);
    EXPECT_LE(cluster.runCounts("by_key")["kept"], 1u);
}

TEST(HorizonTest, KeyIsReusableOnlyAfterItsHorizon)
{
    PromiseCluster cluster({ 1, 1, 2, {}, { { "/claims/horizon_ms", "3000" } } });
    cluster.publish(PromiseCluster::configuration());
    EXPECT_TRUE(cluster.callService("router-1", "old").get().isComplete);
    auto again = cluster.callService("router-2", "old").get();
    EXPECT_EQ(again.refusal, "duplicate_key");
    EXPECT_TRUE(cluster.await([&] { return cluster.callService("router-2", "old").get().isComplete; }));
}

} // namespace Brassladder::ClassServing::Promises
