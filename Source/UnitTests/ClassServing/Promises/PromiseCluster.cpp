// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "UnitTests/ClassServing/Promises/PromiseCluster.h"

namespace Brassladder::ClassServing::Promises {

PromiseCluster::PromiseCluster(const PromiseClusterOptions& options)
    : Cluster(testRuntime())
{
    for (int index = 1; index <= options.engines; ++index)
        addEngine("engine-" + std::to_string(index), "language", options.engine);
    for (int index = 1; index <= options.services; ++index)
        addService("orders-" + std::to_string(index), "orders", 5);
    for (int index = 1; index <= options.routers; ++index)
        addRouter("router-" + std::to_string(index), options.routerSettings);
}

Operator::FileSet PromiseCluster::configuration(const std::string& requestClass, const Json& members)
{
    auto files = Testing::Harness::testConfiguration();
    Json pools = Common::parseJson(files["pools"]);
    pools["pools"][0]["slots_per_worker"] = 4;
    files["pools"] = Common::dumpJson(pools);
    Json classes = Common::parseJson(files["classes"]);
    for (auto& each : classes["classes"]) {
        // These tests do not check latency. A long wait limit keeps requests from expiring on a busy machine.
        each["max_wait_ms"] = 60'000;
        if (each["name"] == requestClass)
            each.update(members);
    }
    files["classes"] = Common::dumpJson(classes);
    return files;
}

std::future<std::vector<CallRecord>> PromiseCluster::runLoad(
    std::vector<Testing::Load::Arrivals> arrivals, double seconds, uint64_t seed)
{
    Testing::Load::Plan plan { seed, seconds, std::move(arrivals), routers() };
    return std::async(std::launch::async, [plan = std::move(plan)] { return Testing::Load::run(testRuntime(), plan); });
}

std::future<CallRecord> PromiseCluster::callService(
    const std::string& router, const std::string& key, const std::string& requestClass, const std::string& attempt)
{
    return std::async(std::launch::async, [endpoint = node(router).endpoint, key, requestClass, attempt] {
        return testRuntime().call([&] {
            auto arrivals = service(requestClass, 1);
            return Testing::Load::callRouter(endpoint, { &arrivals, key, 0, key, attempt });
        });
    });
}

Testing::Load::Arrivals PromiseCluster::chat(const std::string& requestClass, double perSecond, double tokens)
{
    Testing::Load::Arrivals arrivals;
    arrivals.requestClass = requestClass;
    arrivals.key = Testing::Harness::testKey;
    arrivals.perSecond = perSecond;
    arrivals.medianTokens = tokens;
    arrivals.target = Common::Milliseconds(60'000);
    return arrivals;
}

Testing::Load::Arrivals PromiseCluster::service(const std::string& requestClass, double perSecond)
{
    auto arrivals = chat(requestClass, perSecond, 1);
    arrivals.servicePath = "/services/orders/" + requestClass;
    arrivals.idempotencyKey = requestClass == "payment";
    return arrivals;
}

std::map<std::string, uint32_t> PromiseCluster::runCounts(const std::string& counter)
{
    std::map<std::string, uint32_t> sum;
    for (const auto& id : idsOf("orders")) {
        auto counts = counters(id);
        for (const auto& [name, count] : counts[counter].items())
            sum[name] += count.get<uint32_t>();
    }
    return sum;
}

std::string PromiseCluster::explain(const std::string& requestId)
{
    std::string text;
    for (const auto& router : idsOf("router")) {
        Common::HttpClientRequest get { "GET", "/admin/explain?id=" + requestId, "",
            { { "Authorization", std::string("Bearer ") + fleetKey } } };
        auto answer = call(router, get);
        if (!isError(answer) && valueOf(answer).status == 200)
            text += valueOf(answer).body;
    }
    return text;
}

void expectCorrectResponses(std::span<const CallRecord> history)
{
    for (const auto& record : history)
        EXPECT_FALSE(record.isCorrupt) << record.requestClass << " " << record.requestId << " after " << record.tokens
                                       << " tokens";
}

void expectAccurateRunReports(PromiseCluster& cluster, std::span<const CallRecord> history)
{
    auto byRequest = cluster.runCounts("by_request");
    for (const auto& record : history) {
        if (record.ran == "no" && !record.requestId.empty()) {
            EXPECT_EQ(byRequest.count(record.requestId), 0u)
                << "reported as not run, but ran: " << cluster.explain(record.requestId);
        }
    }
    for (const auto& [key, count] : cluster.runCounts("by_key"))
        EXPECT_LE(count, 1u) << "ran more than once: key " << key;
}

size_t countWhole(std::span<const CallRecord> history, const std::string& requestClass)
{
    return std::count_if(history.begin(), history.end(),
        [&](const auto& record) { return record.requestClass == requestClass && record.isComplete; });
}

bool isLostConnection(const CallRecord& record)
{
    return record.refusal == "no_answer" || record.refusal == "stream_cut" || record.refusal == "answer_cut"
        || record.refusal == "connect_failed";
}

size_t countRefused(std::span<const CallRecord> history, const std::string& requestClass)
{
    return std::count_if(history.begin(), history.end(), [&](const auto& record) {
        return record.requestClass == requestClass && !record.refusal.empty() && !isLostConnection(record);
    });
}

} // namespace Brassladder::ClassServing::Promises
