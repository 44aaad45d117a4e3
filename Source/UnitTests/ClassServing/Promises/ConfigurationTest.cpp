// SPDX-License-Identifier: Apache-2.0
// Guards: every instance applies an accepted configuration within seconds and never reverts to an older one.
#include "Common/Precompiled.h"

#include "Common/Digest.h"
#include "UnitTests/ClassServing/Promises/PromiseCluster.h"

namespace Brassladder::ClassServing::Promises {

using namespace std::chrono_literals;

namespace {

// Returns a workspace file with the given weight, which makes its content unique.
Operator::FileSet workspace(int weight)
{
    Json file = { { "name", "east" }, { "key_digests", { Common::sha256Hex("key-of-east") } },
        { "default_class", "chat" }, { "classes", { "chat" } }, { "weight", weight } };
    return { { "workspace/east", Common::dumpJson(file) } };
}

Common::Result<std::vector<Operator::PublishResult>> publish(
    PromiseCluster& cluster, const Operator::FileSet& files, const std::map<std::string, uint64_t>& bases = {})
{
    return testRuntime().call([&] { return Operator::Publisher(cluster.log()).publish(files, bases); });
}

uint64_t versionAt(PromiseCluster& cluster, const std::string& router, const std::string& file = "workspace/east")
{
    auto status = cluster.status(router);
    return status.is_object() ? Common::member<uint64_t>(status["config"]["files"][file], "version", 0) : 0;
}

bool isAppliedOnAllRouters(PromiseCluster& cluster, uint64_t version)
{
    for (const auto& router : cluster.idsOf("router")) {
        if (versionAt(cluster, router) != version)
            return false;
    }
    return true;
}

// Polls the versions on all routers from a thread of its own and records whether one ever decreased.
class VersionWatch {
public:
    explicit VersionWatch(PromiseCluster& cluster)
        : m_thread([this, &cluster] {
            while (!m_stop) {
                for (const auto& router : { "router-1", "router-2", "router-3" }) {
                    auto version = versionAt(cluster, router);
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

TEST(ConfigurationTest, OneOfTwoConcurrentPublishesIsAppliedOnAllRouters)
{
    PromiseCluster cluster({ 1, 1, 3 });
    cluster.publish(PromiseCluster::configuration());
    VersionWatch watch(cluster);
    for (int round = 1; round <= 5; ++round) {
        auto base = versionAt(cluster, "router-1");
        auto other = std::async(std::launch::async, [&] {
            return publish(cluster, workspace(round * 2), { { "workspace/east", base } });
        });
        auto mine = publish(cluster, workspace(round * 2 + 1), { { "workspace/east", base } });
        auto theirs = other.get();
        ASSERT_FALSE(isError(mine) || isError(theirs));
        int accepted = 0;
        uint64_t version = 0;
        for (const auto* result : { &valueOf(mine).front(), &valueOf(theirs).front() }) {
            accepted += result->verdict == Config::FoldVerdict::Accepted;
            version = std::max(version, result->version);
        }
        EXPECT_EQ(accepted, 1);
        // A later publish that is based on the old version must be rejected as a conflict.
        auto late = publish(cluster, workspace(100 + round), { { "workspace/east", base } });
        ASSERT_FALSE(isError(late));
        EXPECT_EQ(valueOf(late).front().verdict, Config::FoldVerdict::Conflict);
        EXPECT_TRUE(cluster.await([&] { return isAppliedOnAllRouters(cluster, version); })) << version;
    }
    EXPECT_FALSE(watch.reverted());
}

TEST(ConfigurationTest, PublisherRecoversTheVerdictAfterALostAppendResponse)
{
    PromiseCluster cluster({ 1, 1, 2 });
    cluster.publish(PromiseCluster::configuration());
    cluster.fault("log", { { "lose_answers", 1 } });
    auto published = publish(cluster, workspace(7));
    ASSERT_FALSE(isError(published));
    EXPECT_EQ(valueOf(published).front().verdict, Config::FoldVerdict::Accepted);
    EXPECT_TRUE(cluster.await([&] { return isAppliedOnAllRouters(cluster, valueOf(published).front().version); }));
}

TEST(ConfigurationTest, NewInstanceStartsFromItsPeersWhileTheLogIsOut)
{
    PromiseCluster cluster({ 1, 1, 2 });
    cluster.publish(PromiseCluster::configuration());
    auto version = valueOf(publish(cluster, workspace(3))).front().version;
    ASSERT_TRUE(cluster.await([&] { return isAppliedOnAllRouters(cluster, version); }));
    cluster.fault("log", { { "down", true } });
    cluster.addRouter("router-3");
    EXPECT_TRUE(cluster.await([&] { return versionAt(cluster, "router-3") == version; }));
    EXPECT_TRUE(cluster.await([&] {
        return valueOf(cluster.call("router-3", { "GET", "/readyz", "", {} })).status == 200;
    }));
    // Without peers and without the log a router has no configuration and must not become ready.
    PromiseCluster alone({ 1, 1, 0 });
    alone.fault("log", { { "down", true } });
    alone.addRouter("router-1");
    std::this_thread::sleep_for(2s);
    EXPECT_EQ(valueOf(alone.call("router-1", { "GET", "/readyz", "", {} })).status, 503u);
}

TEST(ConfigurationTest, ConfigurationSurvivesLogRetention)
{
    PromiseCluster cluster({ 1, 1, 2 });
    cluster.publish(PromiseCluster::configuration());
    cluster.fault("log", { { "retention_ms", 3000 } });
    auto version = valueOf(publish(cluster, workspace(4))).front().version;
    // Exceeds the retention. Without snapshots the log would be empty by now.
    std::this_thread::sleep_for(7s);
    auto fold = testRuntime().call([&] { return Operator::Publisher(cluster.log()).readFold(); });
    ASSERT_FALSE(isError(fold));
    EXPECT_EQ(valueOf(fold).versionOf("workspace/east"), version);
    EXPECT_GT(valueOf(fold).versionOf("pools"), 0u);
    // Extends the retention before the routers are killed. Otherwise the last snapshot may expire before router-3 has
    // started, and no other router is left to write the next one.
    cluster.fault("log", { { "retention_ms", 600'000 } });
    cluster.kill("router-1");
    cluster.kill("router-2");
    cluster.addRouter("router-3");
    EXPECT_TRUE(cluster.await([&] { return versionAt(cluster, "router-3") == version; }));
}

TEST(ConfigurationTest, ResumedRouterCatchesUpWithoutReverting)
{
    PromiseCluster cluster({ 1, 1, 3 });
    cluster.publish(PromiseCluster::configuration());
    VersionWatch watch(cluster);
    publish(cluster, workspace(1));
    cluster.freeze("router-2");
    uint64_t version = 0;
    for (int weight = 2; weight < 6; ++weight)
        version = valueOf(publish(cluster, workspace(weight))).front().version;
    std::this_thread::sleep_for(2s);
    cluster.thaw("router-2");
    EXPECT_TRUE(cluster.await([&] { return isAppliedOnAllRouters(cluster, version); }));
    EXPECT_FALSE(watch.reverted());
}

TEST(ConfigurationTest, ReplacedLogDoesNotChangeTheAppliedConfiguration)
{
    PromiseCluster cluster({ 1, 1, 3 });
    cluster.publish(PromiseCluster::configuration());
    auto version = valueOf(publish(cluster, workspace(5))).front().version;
    ASSERT_TRUE(cluster.await([&] { return isAppliedOnAllRouters(cluster, version); }));
    cluster.fault("log", { { "replace", true } });
    publish(cluster, workspace(6));
    EXPECT_TRUE(cluster.await([&] { return cluster.status("router-1")["config"]["log_replaced"] == true; }));
    EXPECT_TRUE(isAppliedOnAllRouters(cluster, version));
}

} // namespace Brassladder::ClassServing::Promises
