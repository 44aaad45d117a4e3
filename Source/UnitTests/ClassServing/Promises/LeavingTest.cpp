// SPDX-License-Identifier: Apache-2.0
// Guards: a leaving upstream receives no new requests after a few seconds, and a planned stop interrupts no request.
#include "Common/Precompiled.h"

#include "UnitTests/ClassServing/Promises/PromiseCluster.h"

#include <csignal>

namespace Brassladder::ClassServing::Promises {

using namespace std::chrono_literals;

namespace {

struct LeavingCase {
    const char* name;
    std::function<void(PromiseCluster&)> leave;
    bool killsRouter { false };
};

std::ostream& operator<<(std::ostream& out, const LeavingCase& each) { return out << each.name; }

class LeavingTest : public testing::TestWithParam<LeavingCase> { };

uint64_t startedGenerations(PromiseCluster& cluster, const std::string& engine)
{
    return cluster.counters(engine)["starts"].get<uint64_t>();
}

} // namespace

TEST_P(LeavingTest, LeavingUpstreamGetsNoNewWorkAfterAFewSeconds)
{
    PromiseCluster cluster;
    cluster.publish(PromiseCluster::configuration());
    // The load exceeds the capacity of two engines, so requests are queued while one leaves.
    auto running
        = cluster.runLoad({ PromiseCluster::chat("chat", 100, 60), PromiseCluster::chat("urgent", 20, 10) }, 8);
    std::this_thread::sleep_for(1s);
    GetParam().leave(cluster);
    std::this_thread::sleep_for(3s);
    auto before = startedGenerations(cluster, "engine-1");
    std::this_thread::sleep_for(2s);
    EXPECT_EQ(startedGenerations(cluster, "engine-1"), before);
    EXPECT_GT(before, 0u);
    auto history = running.get();
    expectCorrectResponses(history);
    auto lost = std::count_if(history.begin(), history.end(), isLostConnection);
    EXPECT_TRUE(GetParam().killsRouter || !lost) << lost;
    EXPECT_EQ(countRefused(history, "urgent"), 0u);
    EXPECT_EQ(countRefused(history, "chat"), 0u)
        << "running requests must finish, and queued ones must move to other upstreams";
}

INSTANTIATE_TEST_SUITE_P(Ways, LeavingTest,
    testing::Values(
        LeavingCase { "ListTells", [](PromiseCluster& cluster) { cluster.setListed("engine-1", "leaving"); } },
        LeavingCase { "ListLagsAndTells",
            [](PromiseCluster& cluster) {
                cluster.fault("list", { { "lag_ms", 1500 } });
                cluster.setListed("engine-1", "leaving");
            } },
        LeavingCase { "ListDownAndUpstreamTells",
            [](PromiseCluster& cluster) {
                cluster.fault("list", { { "down", true } });
                cluster.fault("engine-1", { { "leaving", true } });
            } },
        LeavingCase { "ListSaysLiveAndUpstreamTells",
            [](PromiseCluster& cluster) {
                cluster.fault("engine-1", { { "leaving", true } });
            } },
        LeavingCase { "ListTellsAndHomeKilled",
            [](PromiseCluster& cluster) {
                cluster.setListed("engine-1", "leaving");
                cluster.kill(cluster.homeOf("language"));
            },
            true }),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ComeBackTest, UpstreamThatLeftAndCameBackGetsWorkAgain)
{
    PromiseCluster cluster;
    cluster.publish(PromiseCluster::configuration());
    cluster.setListed("engine-1", "leaving");
    std::this_thread::sleep_for(1s);
    auto before = startedGenerations(cluster, "engine-1");
    cluster.setListed("engine-1", "live");
    EXPECT_TRUE(cluster.await([&] {
        cluster.runLoad({ PromiseCluster::chat("chat", 60, 20) }, 0.5).get();
        return startedGenerations(cluster, "engine-1") > before;
    }));
}

// Guards against interrupting the requests of callers that are still connected to a draining router.
TEST(PlannedStopTest, PlannedStopInterruptsNoRequests)
{
    PromiseCluster cluster;
    cluster.publish(PromiseCluster::configuration());
    std::vector<std::string> stopped { "router-1", "router-2" };
    // Long streams, short urgent streams and payments, sent to the two routers that stop.
    auto plan = std::vector<Testing::Load::Arrivals> { PromiseCluster::chat("overnight", 20, 600),
        PromiseCluster::chat("urgent", 20, 40), PromiseCluster::service("payment", 10) };
    std::vector<std::future<std::vector<CallRecord>>> loads;
    for (const auto& router : stopped) {
        Testing::Load::Plan each { loads.size() + 1, 2, plan, { cluster.node(router).endpoint } };
        loads.push_back(std::async(std::launch::async, [each] { return Testing::Load::run(testRuntime(), each); }));
    }
    std::this_thread::sleep_for(1900ms);
    for (const auto& router : stopped)
        cluster.node(router).process->signal(SIGTERM);
    EXPECT_TRUE(cluster.await(
        [&] {
            return valueOf(cluster.call("router-1", { "GET", "/readyz", "", {} })).status == 503;
        },
        2s));
    for (auto& load : loads) {
        for (const auto& record : load.get())
            EXPECT_TRUE(record.isComplete)
                << record.requestClass << " at " << record.intendedSeconds << " s: " << record.refusal;
    }
    for (const auto& router : stopped)
        EXPECT_EQ(cluster.node(router).process->wait(30s), 0);
}

} // namespace Brassladder::ClassServing::Promises
