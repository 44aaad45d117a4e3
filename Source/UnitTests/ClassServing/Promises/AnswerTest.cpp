// SPDX-License-Identifier: Apache-2.0
// Guards: every caller receives the complete response to its own request or an error, and a request reported as "not
// run" did not run.
#include "Common/Precompiled.h"

#include "UnitTests/ClassServing/Promises/PromiseCluster.h"

namespace Brassladder::ClassServing::Promises {

using namespace std::chrono_literals;

namespace {

struct EngineFault {
    const char* name;
    std::function<void(PromiseCluster&)> fail;
    bool mayLoseStreams; // Whether streams that have begun may end with an explicit error.
};

std::ostream& operator<<(std::ostream& out, const EngineFault& each) { return out << each.name; }

class EngineFaultTest : public testing::TestWithParam<EngineFault> { };

struct ServiceFault {
    const char* name;
    std::function<void(PromiseCluster&)> fail;
};

std::ostream& operator<<(std::ostream& out, const ServiceFault& each) { return out << each.name; }

class ServiceFaultTest : public testing::TestWithParam<ServiceFault> { };

} // namespace

TEST_P(EngineFaultTest, ResponsesAreCompleteOrEndWithAnError)
{
    PromiseCluster cluster;
    cluster.publish(PromiseCluster::configuration());
    auto whole = PromiseCluster::chat("draft", 20, 60);
    whole.stream = false;
    auto running
        = cluster.runLoad({ PromiseCluster::chat("chat", 30, 60), whole, PromiseCluster::chat("urgent", 20, 10),
                              PromiseCluster::chat("overnight", 5, 300) },
            4);
    std::this_thread::sleep_for(1500ms);
    GetParam().fail(cluster);
    auto history = running.get();
    expectCorrectResponses(history);
    for (const auto& record : history) {
        EXPECT_TRUE(record.isComplete || !record.refusal.empty())
            << record.requestClass << " has neither a complete response nor an error";
        EXPECT_NE(record.refusal, "stream_cut") << "a broken stream must end with an explicit error";
        EXPECT_NE(record.refusal, "unreadable_error");
        if (!GetParam().mayLoseStreams) {
            EXPECT_TRUE(record.isComplete) << record.requestClass << ": " << record.refusal << "\n"
                                           << cluster.explain(record.requestId);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Faults, EngineFaultTest,
    testing::Values(EngineFault { "EngineKilled", [](PromiseCluster& cluster) { cluster.kill("engine-1"); }, true },
        EngineFault { "TwoEnginesKilled",
            [](PromiseCluster& cluster) {
                cluster.kill("engine-1");
                cluster.kill("engine-2");
            },
            true },
        EngineFault { "StreamsCutMidway",
            [](PromiseCluster& cluster) {
                cluster.fault("engine-1", { { "cut_after_tokens", 20 } });
            },
            true },
        EngineFault { "StreamsEndWithoutMarker",
            [](PromiseCluster& cluster) {
                cluster.fault("engine-1", { { "cut_after_tokens", 20 }, { "cut_cleanly", true } });
            },
            true },
        EngineFault { "PausedStateLost",
            [](PromiseCluster& cluster) {
                cluster.fault("engine-1", { { "forget_paused", true } });
            },
            true },
        EngineFault { "EngineRefuses",
            [](PromiseCluster& cluster) {
                cluster.fault("engine-1", { { "refuse", true } });
            },
            false },
        EngineFault { "EngineFrozenForAWhile",
            [](PromiseCluster& cluster) {
                cluster.freeze("engine-1");
                std::this_thread::sleep_for(1s);
                cluster.thaw("engine-1");
            },
            false }),
    [](const auto& info) { return std::string(info.param.name); });

// Sends repeatable and non-repeatable calls during faults of the services. The services count what ran.
TEST_P(ServiceFaultTest, NotRunReportsAreAccurateAndKeysRunAtMostOnce)
{
    PromiseCluster cluster;
    cluster.publish(PromiseCluster::configuration());
    auto running = cluster.runLoad({ PromiseCluster::service("payment", 40), PromiseCluster::service("stock", 40) }, 3);
    std::this_thread::sleep_for(1s);
    GetParam().fail(cluster);
    auto history = running.get();
    expectCorrectResponses(history);
    expectAccurateRunReports(cluster, history);
    EXPECT_GT(countWhole(history, "payment"), 60u);
}

INSTANTIATE_TEST_SUITE_P(Faults, ServiceFaultTest,
    testing::Values(ServiceFault { "AnswersLost",
                        [](PromiseCluster& cluster) {
                            cluster.fault("orders-1", { { "lose_answers", 20 } });
                        } },
        ServiceFault { "AnswersTruncated",
            [](PromiseCluster& cluster) {
                cluster.fault("orders-1", { { "truncate_answers", 20 } });
            } },
        ServiceFault { "ServiceRefuses",
            [](PromiseCluster& cluster) {
                cluster.fault("orders-1", { { "refuse", true } });
            } },
        ServiceFault { "ServiceFrozenAndWoken",
            [](PromiseCluster& cluster) {
                cluster.freeze("orders-1");
                std::this_thread::sleep_for(700ms);
                cluster.thaw("orders-1");
            } },
        ServiceFault { "RouterKilledAndAnswersLost",
            [](PromiseCluster& cluster) {
                cluster.fault("orders-1", { { "lose_answers", 10 } });
                cluster.kill("router-2");
            } }),
    [](const auto& info) { return std::string(info.param.name); });

// While all slots are in use, requests that cannot be served in time are refused with a retry delay.
TEST(RefusalTest, RefusalsAreNotRunAndStateARetryDelay)
{
    PromiseCluster cluster({ 1, 1, 1, { 5000, 1, 100 } });
    auto files = PromiseCluster::configuration("urgent", { { "max_wait_ms", 200 } });
    Json pools = Common::parseJson(files["pools"]);
    pools["pools"][0]["slots_per_worker"] = 1;
    files["pools"] = Common::dumpJson(pools);
    cluster.publish(files);
    auto history = cluster.runLoad({ PromiseCluster::chat("urgent", 100, 200) }, 2).get();
    expectCorrectResponses(history);
    EXPECT_GT(countRefused(history, "urgent"), 100u);
    size_t predicted = 0;
    for (const auto& record : history) {
        if (record.refusal.empty())
            continue;
        EXPECT_EQ(record.ran, "no");
        EXPECT_TRUE(record.refusal == "deadline_unreachable" || record.refusal == "wait_expired") << record.refusal;
        predicted += record.refusal == "deadline_unreachable";
    }
    EXPECT_GT(predicted, 0u) << "some requests must be refused on arrival, without waiting";
    auto arrivals = PromiseCluster::chat("urgent", 1, 200);
    Common::HttpClientRequest call {
        "POST", "/v1/chat/completions", R"({"messages":[{"role":"user","content":"nonce=a len=400"}]})",
        { { "Authorization", std::string("Bearer ") + Testing::Harness::testKey }, { "Brassladder-Class", "urgent" } }
    };
    static constexpr int callers = 8;
    std::vector<std::future<Common::Result<Common::HttpClientResponse>>> answers;
    answers.reserve(callers);
    for (int index = 0; index < callers; ++index)
        answers.push_back(std::async(std::launch::async, [&] { return cluster.call("router-1", call); }));
    size_t refused = 0;
    for (auto& answer : answers) {
        auto result = answer.get();
        if (isError(result) || valueOf(result).status != 429)
            continue;
        ++refused;
        EXPECT_FALSE(valueOf(result).header("Retry-After").empty());
        EXPECT_GT(Common::parseJson(valueOf(result).body)["error"]["retry_after_ms"].get<int>(), 0);
    }
    EXPECT_GT(refused, 0u);
}

} // namespace Brassladder::ClassServing::Promises
