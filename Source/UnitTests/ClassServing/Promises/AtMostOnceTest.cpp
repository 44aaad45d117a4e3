// SPDX-License-Identifier: Apache-2.0
// Guards: a request marked as not to be repeated runs at most once, whoever asks again, wherever, and whatever fails.
#include "Common/Precompiled.h"

#include "Common/Digest.h"
#include "UnitTests/ClassServing/Promises/Scene.h"

namespace Brassladder::ClassServing::Promises {

using namespace std::chrono_literals;

namespace {

struct OnceCase {
    const char* name;
    std::function<void(Scene&)> fail;
    std::function<void(Scene&)> mend;
};

std::ostream& operator<<(std::ostream& out, const OnceCase& each) { return out << each.name; }

class AtMostOnceTest : public testing::TestWithParam<OnceCase> { };

// Each key is sent through every router, at once and again later, as callers do that heard nothing.
std::vector<CallRecord> payAll(Scene& scene, const std::string& prefix, int keys, int rounds)
{
    std::vector<std::future<CallRecord>> calls;
    for (int round = 0; round < rounds; ++round) {
        for (int key = 0; key < keys; ++key) {
            for (const auto* router : { "router-1", "router-2", "router-3" })
                calls.push_back(scene.pay(router, prefix + std::to_string(key)));
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
        history.begin(), history.end(), [&](const auto& record) { return record.key == key && record.whole; });
}

} // namespace

TEST_P(AtMostOnceTest, KeyRunsAtMostOnceThroughFailures)
{
    Scene scene;
    scene.publish(Scene::configuration());
    auto before = payAll(scene, "before", 4, 2);
    auto during = std::async(std::launch::async, [&] { return payAll(scene, "during", 12, 6); });
    std::this_thread::sleep_for(60ms);
    GetParam().fail(scene);
    std::this_thread::sleep_for(500ms);
    GetParam().mend(scene);
    auto history = during.get();
    auto after = payAll(scene, "during", 12, 1);
    history.insert(history.end(), before.begin(), before.end());
    history.insert(history.end(), after.begin(), after.end());
    expectOwnAnswers(history);
    expectHonest(scene, history);
    for (int key = 0; key < 4; ++key)
        EXPECT_EQ(wholeByKey(history, "before" + std::to_string(key)), 1u) << "one of the callers has the answer";
    // Keys are not lost for good either: a new one goes through again once all is mended.
    EXPECT_TRUE(scene.await([&] { return scene.pay("router-1", Common::randomId()).get().whole; }));
}

static void mendNothing(Scene&) { }
static void killOne(Scene& scene) { scene.kill("router-2"); }
static void logDown(Scene& scene) { scene.fault("log", { { "down", true } }); }
static void logUp(Scene& scene) { scene.fault("log", { { "down", false }, { "slow_ms", 0 } }); }
static void freezeOne(Scene& scene) { scene.freeze("router-2"); }
static void thawOne(Scene& scene) { scene.thaw("router-2"); }

INSTANTIATE_TEST_SUITE_P(Failures, AtMostOnceTest,
    testing::Values(OnceCase { "SameKeyAtAllRouters", mendNothing, mendNothing },
        OnceCase { "RouterKilled", killOne, mendNothing }, OnceCase { "RouterFrozenAndWoken", freezeOne, thawOne },
        OnceCase { "LogDown", logDown, logUp },
        OnceCase { "LogDownAndRouterKilled",
            [](Scene& scene) {
                logDown(scene);
                killOne(scene);
            },
            logUp },
        OnceCase { "AppendAnswersLost",
            [](Scene& scene) {
                scene.fault("log", { { "lose_answers", 5 } });
            },
            mendNothing },
        OnceCase { "AppendAnswersLostAndRouterKilled",
            [](Scene& scene) {
                scene.fault("log", { { "lose_answers", 5 } });
                killOne(scene);
            },
            mendNothing },
        OnceCase { "LogSlow",
            [](Scene& scene) {
                scene.fault("log", { { "slow_ms", 300 } });
            },
            logUp },
        OnceCase { "LogSlowAndRouterFrozen",
            [](Scene& scene) {
                scene.fault("log", { { "slow_ms", 200 } });
                freezeOne(scene);
            },
            [](Scene& scene) {
                logUp(scene);
                thawOne(scene);
            } },
        OnceCase { "ServiceAnswersLost",
            [](Scene& scene) {
                scene.fault("orders-1", { { "lose_answers", 6 } });
            },
            mendNothing },
        // Membership views that disagree: the peers hear nothing of each other for a while.
        OnceCase { "RouterUnlisted", [](Scene& scene) { scene.setListed("router-2", ""); },
            [](Scene& scene) { scene.setListed("router-2", "live"); } }),
    [](const auto& info) { return std::string(info.param.name); });

TEST(LogOutageTest, KeysAreRefusedAtOnceAndCallsWithoutKeysGoOn)
{
    Scene scene;
    scene.publish(Scene::configuration());
    scene.fault("log", { { "down", true } });
    EXPECT_TRUE(
        scene.await([&] { return scene.pay("router-1", Common::randomId()).get().refusal == "claim_unavailable"; }));
    auto refused = scene.pay("router-2", "k1").get();
    EXPECT_EQ(refused.refusal, "claim_unavailable");
    EXPECT_EQ(refused.ran, "no");
    auto vouched = scene.pay("router-3", "k2", "vouched", "1").get();
    EXPECT_TRUE(vouched.whole) << "the caller vouches that this is its first try: " << vouched.refusal;
    auto second = scene.pay("router-2", "k2", "vouched", "2").get();
    EXPECT_EQ(second.refusal, "duplicate_key");
    EXPECT_EQ(second.ran, "maybe");
    auto unkeyed = scene.runLoad({ Scene::service("stock", 50) }, 1).get();
    EXPECT_EQ(countWhole(unkeyed, "stock"), unkeyed.size());
    scene.fault("log", { { "down", false } });
    EXPECT_TRUE(scene.await([&] { return scene.pay("router-1", "k1").get().whole; }))
        << "refused as not run, so the key is free";
    // The later try of the vouched key still does not run, though the log knows of no claim.
    EXPECT_EQ(scene.pay("router-1", "k2", "vouched", "2").get().refusal, "duplicate_key");
    auto runs = scene.runs("by_key");
    EXPECT_EQ(runs["k1"], 1u);
    EXPECT_EQ(runs["k2"], 1u);
}

TEST(RetentionTest, LogThatKeepsLessThanTheHorizonSettlesNoKey)
{
    Scene scene({ 1, 1, 2 });
    scene.publish(Scene::configuration());
    EXPECT_TRUE(scene.pay("router-1", "kept").get().whole);
    scene.fault("log", { { "retention_ms", 1000 } });
    std::this_thread::sleep_for(1500ms);
    // The log has forgotten the claim by now, and so have all who remembered it.
    scene.addRouter("router-3");
    scene.awaitReady();
    scene.kill("router-1");
    scene.kill("router-2");
    EXPECT_FALSE(scene.pay("router-3", "kept").get().whole);
    EXPECT_LE(scene.runs("by_key")["kept"], 1u);
}

TEST(HorizonTest, KeyIsFreeAgainAfterItsHorizonOnly)
{
    Scene scene({ 1, 1, 2, {}, { { "/claims/horizon_ms", "3000" } } });
    scene.publish(Scene::configuration());
    EXPECT_TRUE(scene.pay("router-1", "old").get().whole);
    auto again = scene.pay("router-2", "old").get();
    EXPECT_EQ(again.refusal, "duplicate_key");
    EXPECT_TRUE(scene.await([&] { return scene.pay("router-2", "old").get().whole; }));
}

} // namespace Brassladder::ClassServing::Promises
