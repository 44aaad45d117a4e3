// SPDX-License-Identifier: Apache-2.0
// Guards: an accepted configuration is in force on every instance within seconds and never reverts to an older one.
#include "Common/Precompiled.h"

#include "Common/Digest.h"
#include "UnitTests/ClassServing/Promises/Scene.h"

namespace Brassladder::ClassServing::Promises {

using namespace std::chrono_literals;

namespace {

// A workspace's file whose content differs by its weight.
Operator::FileSet workspace(int weight)
{
    Json file = { { "name", "east" }, { "key_digests", { Common::sha256Hex("key-of-east") } },
        { "default_class", "chat" }, { "classes", { "chat" } }, { "weight", weight } };
    return { { "workspace/east", Common::dumpJson(file) } };
}

Common::Result<std::vector<Operator::PublishResult>> publish(
    Scene& scene, const Operator::FileSet& files, const std::map<std::string, uint64_t>& bases = {})
{
    return testRuntime().call([&] { return Operator::Publisher(scene.log()).publish(files, bases); });
}

uint64_t versionAt(Scene& scene, const std::string& router, const std::string& file = "workspace/east")
{
    auto status = scene.status(router);
    return status.is_object() ? Common::member<uint64_t>(status["config"]["files"][file], "version", 0) : 0;
}

bool isEverywhere(Scene& scene, uint64_t version)
{
    for (const auto& router : scene.idsOf("router")) {
        if (versionAt(scene, router) != version)
            return false;
    }
    return true;
}

// Watches the versions at all routers and notes whether one ever went back.
class VersionWatch {
public:
    explicit VersionWatch(Scene& scene)
        : m_thread([this, &scene] {
            while (!m_stop) {
                for (const auto& router : { "router-1", "router-2", "router-3" }) {
                    auto version = versionAt(scene, router);
                    if (version && version < m_seen[router])
                        m_reverted = true;
                    m_seen[router] = std::max(m_seen[router], version);
                }
            }
        })
    {
    }
    ~VersionWatch()
    {
        m_stop = true;
        m_thread.join();
    }
    bool reverted() const { return m_reverted; }

private:
    std::atomic<bool> m_stop { false };
    std::atomic<bool> m_reverted { false };
    std::map<std::string, uint64_t> m_seen;
    std::thread m_thread;
};

} // namespace

TEST(ConfigurationTest, OneOfTwoOperatorsWinsAndIsInForceEverywhere)
{
    Scene scene({ 1, 1, 3 });
    scene.publish(Scene::configuration());
    VersionWatch watch(scene);
    for (int round = 1; round <= 5; ++round) {
        auto base = versionAt(scene, "router-1");
        auto other = std::async(std::launch::async, [&] {
            return publish(scene, workspace(round * 2), { { "workspace/east", base } });
        });
        auto mine = publish(scene, workspace(round * 2 + 1), { { "workspace/east", base } });
        auto theirs = other.get();
        ASSERT_FALSE(isError(mine) || isError(theirs));
        int accepted = 0;
        uint64_t version = 0;
        for (const auto* result : { &valueOf(mine).front(), &valueOf(theirs).front() }) {
            accepted += result->verdict == Config::FoldVerdict::Accepted;
            version = std::max(version, result->version);
        }
        EXPECT_EQ(accepted, 1);
        // An operator who comes later with a file written against the old version must not win either.
        auto late = publish(scene, workspace(100 + round), { { "workspace/east", base } });
        ASSERT_FALSE(isError(late));
        EXPECT_EQ(valueOf(late).front().verdict, Config::FoldVerdict::Conflict);
        EXPECT_TRUE(scene.await([&] { return isEverywhere(scene, version); })) << version;
    }
    EXPECT_FALSE(watch.reverted());
}

TEST(ConfigurationTest, PublisherLearnsTheVerdictOfAnAppendWhoseAnswerWasLost)
{
    Scene scene({ 1, 1, 2 });
    scene.publish(Scene::configuration());
    scene.fault("log", { { "lose_answers", 1 } });
    auto published = publish(scene, workspace(7));
    ASSERT_FALSE(isError(published));
    EXPECT_EQ(valueOf(published).front().verdict, Config::FoldVerdict::Accepted);
    EXPECT_TRUE(scene.await([&] { return isEverywhere(scene, valueOf(published).front().version); }));
}

TEST(ConfigurationTest, NewInstanceStartsFromItsPeersWhileTheLogIsOut)
{
    Scene scene({ 1, 1, 2 });
    scene.publish(Scene::configuration());
    auto version = valueOf(publish(scene, workspace(3))).front().version;
    ASSERT_TRUE(scene.await([&] { return isEverywhere(scene, version); }));
    scene.fault("log", { { "down", true } });
    scene.addRouter("router-3");
    EXPECT_TRUE(scene.await([&] { return versionAt(scene, "router-3") == version; }));
    EXPECT_TRUE(scene.await([&] {
        return valueOf(scene.call("router-3", { "GET", "/readyz", "", {} })).status == 200;
    }));
    // Without peers and without the log there is nothing to go by.
    Scene alone({ 1, 1, 0 });
    alone.fault("log", { { "down", true } });
    alone.addRouter("router-1");
    std::this_thread::sleep_for(2s);
    EXPECT_EQ(valueOf(alone.call("router-1", { "GET", "/readyz", "", {} })).status, 503u);
}

TEST(ConfigurationTest, OutlivesTheLogsRetention)
{
    Scene scene({ 1, 1, 2 });
    scene.publish(Scene::configuration());
    scene.fault("log", { { "retention_ms", 3000 } });
    auto version = valueOf(publish(scene, workspace(4))).front().version;
    // Longer than the retention: without snapshots the log would be empty by then, and all peers are replaced.
    std::this_thread::sleep_for(7s);
    auto fold = testRuntime().call([&] { return Operator::Publisher(scene.log()).readFold(); });
    ASSERT_FALSE(isError(fold));
    EXPECT_EQ(valueOf(fold).versionOf("workspace/east"), version);
    EXPECT_GT(valueOf(fold).versionOf("pools"), 0u);
    // The log keeps what it has from here on. A snapshot is written when the youngest record has passed half of the
    // retention and a jitter of up to a quarter, so with both routers killed as little as 0.75 s of it is left, and
    // beside twelve busy processes a start took longer once in 21 runs: nobody was left to write the next one.
    scene.fault("log", { { "retention_ms", 600'000 } });
    scene.kill("router-1");
    scene.kill("router-2");
    scene.addRouter("router-3");
    EXPECT_TRUE(scene.await([&] { return versionAt(scene, "router-3") == version; }));
}

TEST(ConfigurationTest, FrozenRouterCatchesUpAndNeverGoesBack)
{
    Scene scene({ 1, 1, 3 });
    scene.publish(Scene::configuration());
    VersionWatch watch(scene);
    publish(scene, workspace(1));
    scene.freeze("router-2");
    uint64_t version = 0;
    for (int weight = 2; weight < 6; ++weight)
        version = valueOf(publish(scene, workspace(weight))).front().version;
    std::this_thread::sleep_for(2s);
    scene.thaw("router-2");
    EXPECT_TRUE(scene.await([&] { return isEverywhere(scene, version); }));
    EXPECT_FALSE(watch.reverted());
}

TEST(ConfigurationTest, ReplacedLogLeavesInForceWhatWas)
{
    Scene scene({ 1, 1, 3 });
    scene.publish(Scene::configuration());
    auto version = valueOf(publish(scene, workspace(5))).front().version;
    ASSERT_TRUE(scene.await([&] { return isEverywhere(scene, version); }));
    scene.fault("log", { { "replace", true } });
    publish(scene, workspace(6));
    EXPECT_TRUE(scene.await([&] { return scene.status("router-1")["config"]["log_replaced"] == true; }));
    EXPECT_TRUE(isEverywhere(scene, version));
}

} // namespace Brassladder::ClassServing::Promises
