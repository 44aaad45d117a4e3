// SPDX-License-Identifier: Apache-2.0
// Measures the latency that the router adds to a call, against a direct call to the upstream in the same run, and the
// memory that idle streams need.
#include "Common/Precompiled.h"

#include "Common/Program.h"
#include "Testing/Harness/Cluster.h"
#include "Testing/Load/Generator.h"

#include <absl/flags/flag.h>
#include <fstream>
#include <iostream>

using namespace Brassladder;
using namespace std::chrono_literals;

ABSL_FLAG(int, calls, 4000, "Calls of each kind");
ABSL_FLAG(int, streams, 10'000, "Idle streams");

// Returns the resident memory of a process in KB.
static uint64_t residentKilobytes(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stoull(line.substr(6));
    }
    return 0;
}

struct Latencies {
    std::vector<double> seconds;
    double quantile(double part)
    {
        std::sort(seconds.begin(), seconds.end());
        return seconds[static_cast<size_t>(part * static_cast<double>(seconds.size() - 1))];
    }
};

// Repeats the same call on one keep-alive connection.
static Latencies timeCalls(
    Common::FiberRuntime& runtime, const Common::Endpoint& endpoint, const Common::HttpClientRequest& call, int count)
{
    return runtime.call([&] {
        Latencies latencies;
        Common::HttpConnection connection;
        connection.connect(endpoint, 1000ms);
        for (int index = 0; index < count; ++index) {
            auto start = Common::now();
            auto answer = connection.start(call);
            if (isError(answer) || valueOf(answer).status != 200 || isError(connection.readRemainingBody(1 << 20)))
                std::cerr << "a call failed\n";
            latencies.seconds.push_back(Common::toSeconds(Common::now() - start));
        }
        return latencies;
    });
}

// Returns the calls per second of concurrent connections.
static double throughput(Common::FiberRuntime& runtime, const Common::Endpoint& endpoint,
    const Common::HttpClientRequest& call, int connections, int each)
{
    std::atomic<int> left { connections };
    auto start = Common::now();
    for (int index = 0; index < connections; ++index) {
        runtime.spawn([&] {
            Common::HttpConnection connection;
            connection.connect(endpoint, 1000ms);
            for (int done = 0; done < each; ++done) {
                auto answer = connection.start(call);
                if (isError(answer) || isError(connection.readRemainingBody(1 << 20)))
                    std::cerr << "a call failed\n";
            }
            left.fetch_sub(1);
        });
    }
    while (left)
        std::this_thread::sleep_for(1ms);
    return connections * each / Common::toSeconds(Common::now() - start);
}

static void compare(const char* what, Latencies direct, Latencies routed)
{
    std::printf(
        "%-24s direct p50 %.3f ms p99 %.3f ms   routed p50 %.3f ms p99 %.3f ms   added p50 %.3f ms p99 %.3f ms\n", what,
        1e3 * direct.quantile(0.5), 1e3 * direct.quantile(0.99), 1e3 * routed.quantile(0.5),
        1e3 * routed.quantile(0.99), 1e3 * (routed.quantile(0.5) - direct.quantile(0.5)),
        1e3 * (routed.quantile(0.99) - direct.quantile(0.99)));
}

static void measureLatency(Common::FiberRuntime& runtime)
{
    Testing::Harness::Cluster cluster(runtime);
    cluster.addEngine("engine-1", "language", { 100, 64, 100 });
    cluster.addService("orders-1", "orders", 0);
    cluster.addRouter("router-1");
    cluster.publish(Testing::Harness::testConfiguration());
    std::vector<Common::HttpHeader> headers { { "Authorization", std::string("Bearer ") + Testing::Harness::testKey },
        { "Brassladder-Class", "stock" } };
    int count = absl::GetFlag(FLAGS_calls);
    Common::HttpClientRequest direct { "POST", "/x", "{}", {} };
    Common::HttpClientRequest routed { "POST", "/services/orders/x", "{}", headers };
    const auto& service = cluster.node("orders-1").endpoint;
    const auto& router = cluster.node("router-1").endpoint;
    timeCalls(runtime, router, routed, count / 4);
    compare("plain call", timeCalls(runtime, service, direct, count), timeCalls(runtime, router, routed, count));
    std::printf("%-24s direct %.0f a second   routed %.0f a second (64 connections, 2 router threads, 2 client "
                "threads, 1 service thread)\n",
        "plain calls at once", throughput(runtime, service, direct, 64, count / 16),
        throughput(runtime, router, routed, 64, count / 16));
    headers.back().value = "urgent";
    Common::HttpClientRequest stream { "POST", "/v1/chat/completions",
        R"({"stream":true,"messages":[{"role":"user","content":"nonce=a len=16"}]})", {} };
    Common::HttpClientRequest routedStream = stream;
    routedStream.headers = headers;
    const auto& engine = cluster.node("engine-1").endpoint;
    compare("stream of 16 tokens", timeCalls(runtime, engine, stream, count / 4),
        timeCalls(runtime, router, routedStream, count / 4));
}

// Measures memory with many open streams. The engine produces one token per hour.
static void measureIdleStreams(Common::FiberRuntime& runtime)
{
    Testing::Harness::Cluster cluster(runtime);
    int streams = absl::GetFlag(FLAGS_streams);
    cluster.addEngine("engine-1", "language", { 3'600'000'000, streams, 100 });
    cluster.addRouter("router-1", { { "/upstream/answer_ms", "3600000" }, { "/http/max_connections", "30000" } });
    auto files = Testing::Harness::testConfiguration();
    auto pools = Common::parseJson(files["pools"]);
    pools["pools"][0]["slots_per_worker"] = 4096;
    files["pools"] = Common::dumpJson(pools);
    cluster.publish(files);
    for (int index = 2; index * 4096 < streams + 4096; ++index)
        cluster.addEngine("engine-" + std::to_string(index), "language", { 3'600'000'000, streams, 100 });
    cluster.awaitReady();
    auto pid = cluster.node("router-1").process->pid();
    auto before = residentKilobytes(pid);
    auto router = cluster.node("router-1").endpoint;
    for (int index = 0; index < streams; ++index) {
        runtime.spawn([router] {
            Common::HttpConnection connection;
            if (auto status = connection.connect(router, 10'000ms); isError(status))
                std::cerr << errorOf(status).message << "\n";
            Common::HttpClientRequest call { "POST", "/v1/chat/completions",
                R"({"stream":true,"messages":[{"role":"user","content":"nonce=a len=9"}]})",
                { { "Authorization", std::string("Bearer ") + Testing::Harness::testKey } } };
            call.responseTimeout = Common::Milliseconds(600'000);
            if (auto answer = connection.start(call); isError(answer))
                std::cerr << errorOf(answer).message << "\n";
        });
        if (index % 200 == 199)
            std::this_thread::sleep_for(50ms);
    }
    bool all = cluster.await([&] { return cluster.status("router-1")["in_flight"] == streams; }, 60s);
    auto running = cluster.status("router-1")["shards"]["language/0"]["tiers"][1]["running"].get<int>();
    auto after = residentKilobytes(pid);
    std::istringstream metrics(valueOf(cluster.call("router-1", { "GET", "/metrics", "", {} })).body);
    for (std::string line; std::getline(metrics, line);) {
        if (line.starts_with("brassladder_refusals_total") || line.starts_with("brassladder_retries_total"))
            std::printf("  %s\n", line.c_str());
    }
    std::printf("idle streams: %d open%s, %d running upstream; router %lu KB before, %lu KB with the streams, %.1f KB "
                "per stream\n",
        streams, all ? "" : " (NOT ALL)", running, before, after, static_cast<double>(after - before) / streams);
}

int main(int argc, char** argv)
{
    Common::parseCommandLine(argc, argv, "Measures what the router adds to a call and what an idle stream costs.");
    auto& runtime = Common::FiberRuntime::start(2);
    measureLatency(runtime);
    measureIdleStreams(runtime);
    Common::exitProcess(Common::ExitCode::Success);
}
