// SPDX-License-Identifier: Apache-2.0
// Guards: a higher tier is never refused or preempted in favor of a lower one, and no class starves.
#include "Common/Precompiled.h"

#include "UnitTests/ClassServing/Promises/PromiseCluster.h"

namespace Brassladder::ClassServing::Promises {

using namespace std::chrono_literals;

namespace {

struct TierCase {
    const char* name;
    std::function<void(PromiseCluster&)> fail; // Run in the middle of the burst.
};

std::ostream& operator<<(std::ostream& out, const TierCase& each) { return out << each.name; }

class TierOrderTest : public testing::TestWithParam<TierCase> { };

// Returns the value of a series, summed over all routers.
double sumOfMetric(PromiseCluster& cluster, const std::string& series)
{
    double sum = 0;
    for (const auto& router : cluster.idsOf("router")) {
        auto metrics = valueOf(cluster.call(router, { "GET", "/metrics", "", {} })).body;
        if (auto found = metrics.find(series + " "); found != std::string::npos)
            sum += std::stod(metrics.substr(found + series.size()));
    }
    return sum;
}

double preemptions(PromiseCluster& cluster, const std::string& requestClass)
{
    return sumOfMetric(cluster, "brassladder_preemptions_total{class=\"" + requestClass + "\"}");
}

} // namespace

// The cluster has 12 slots of 500 tokens/s each. Overnight requests of 2,000 tokens occupy all slots. A burst of urgent
// requests, which alone fits the capacity, must not be refused for lack of room.
TEST_P(TierOrderTest, UrgentIsServedOverABacklogOfLowerTiers)
{
    PromiseCluster cluster;
    cluster.publish(PromiseCluster::configuration());
    auto overnight = PromiseCluster::chat("overnight", 8, 2000);
    overnight.spread = 0.1;
    auto chats = PromiseCluster::chat("chat", 5, 60);
    chats.bursts = { { 1, 5, 4 } };
    auto urgent = PromiseCluster::chat("urgent", 10, 20);
    urgent.bursts = { { 1, 5, 5 } };
    auto running = cluster.runLoad({ overnight, chats, urgent }, 6);
    std::this_thread::sleep_for(2500ms);
    GetParam().fail(cluster);
    auto history = running.get();
    expectCorrectResponses(history);
    EXPECT_EQ(preemptions(cluster, "urgent"), 0);
    EXPECT_GT(preemptions(cluster, "overnight"), 0) << "no request was preempted, so the test is inconclusive";
    // Requests that lost their connection or engine may fail, but none may be refused for lack of room.
    for (const auto& record : history) {
        if (record.requestClass != "urgent" || record.refusal.empty())
            continue;
        bool forRoom = record.refusal == "queue_full" || record.refusal == "deadline_unreachable"
            || record.refusal == "wait_expired";
        EXPECT_FALSE(forRoom) << record.refusal;
    }
    EXPECT_GT(countWhole(history, "urgent"), 150u);
}

INSTANTIATE_TEST_SUITE_P(Failures, TierOrderTest,
    testing::Values(TierCase { "Burst", [](PromiseCluster&) {} },
        TierCase { "HomeKilled", [](PromiseCluster& cluster) { cluster.kill(cluster.homeOf("language")); } },
        TierCase { "HomeFrozen",
            [](PromiseCluster& cluster) {
                auto home = cluster.homeOf("language");
                cluster.freeze(home);
                std::this_thread::sleep_for(3s);
                cluster.thaw(home);
            } },
        TierCase { "FalseLoadReports",
            [](PromiseCluster& cluster) {
                cluster.fault("engine-1", { { "reported_load", 1000 } });
                cluster.fault("engine-2", { { "reported_load", 0 } });
            } },
        TierCase { "SlowEngine",
            [](PromiseCluster& cluster) {
                cluster.fault("engine-1", { { "slow_factor", 4 } });
            } },
        TierCase { "EngineKilledAndHomeKilled",
            [](PromiseCluster& cluster) {
                cluster.kill("engine-1");
                cluster.kill(cluster.homeOf("language"));
            } }),
    [](const auto& info) { return std::string(info.param.name); });

// With one upstream per shard, a paused generation must resume in the shard of its upstream, wherever the home is.
TEST(ShardTest, PausedGenerationResumesInItsOwnShard)
{
    PromiseCluster cluster;
    auto files = PromiseCluster::configuration();
    Json pools = Common::parseJson(files["pools"]);
    pools["pools"][0]["shard_size"] = 1;
    files["pools"] = Common::dumpJson(pools);
    cluster.publish(files);
    auto overnight = PromiseCluster::chat("overnight", 20, 600);
    auto urgent = PromiseCluster::chat("urgent", 60, 20);
    auto history = cluster.runLoad({ overnight, urgent }, 3).get();
    expectCorrectResponses(history);
    EXPECT_GT(sumOfMetric(cluster, "brassladder_preemptions_total{class=\"overnight\"}"), 0);
    EXPECT_EQ(sumOfMetric(cluster, "brassladder_retries_total{class=\"overnight\",reason=\"upstream_lost_state\"}"), 0);
    EXPECT_EQ(countWhole(history, "overnight") + countWhole(history, "urgent"), history.size());
}

// Guards against starvation: requests of the lowest class must complete while the highest class is offered twice the
// capacity. Time is scaled down: one engine step takes 2 ms.
TEST(StarvationTest, LowestClassRunsWhileTheHighestIsOfferedTwiceTheCapacity)
{
    PromiseCluster cluster;
    auto files = PromiseCluster::configuration("overnight", { { "guarantee_after_ms", 1000 } });
    cluster.publish(files);
    // The capacity is 12 slots * 500 tokens/s = 6,000 tokens/s; the load is 300 requests/s * 40 tokens = 12,000
    // tokens/s.
    auto urgent = PromiseCluster::chat("urgent", 300, 40);
    urgent.spread = 0.1;
    auto low = PromiseCluster::chat("overnight", 1, 50);
    low.spread = 0.1;
    auto burst = cluster.runLoad({ urgent }, 12);
    std::this_thread::sleep_for(1s);
    auto overnight = cluster.runLoad({ low }, 4, 2).get();
    bool burstIsOn = burst.wait_for(0s) == std::future_status::timeout;
    EXPECT_TRUE(burstIsOn) << "the burst ended too early, so the test is inconclusive";
    ASSERT_FALSE(overnight.empty());
    EXPECT_EQ(countWhole(overnight, "overnight"), overnight.size());
    expectCorrectResponses(burst.get());
}

} // namespace Brassladder::ClassServing::Promises
