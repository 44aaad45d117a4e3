// SPDX-License-Identifier: Apache-2.0
// Measures what a router spends on one placement, and a hub on one response to a subscriber, as the number of upstreams
// grows.
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/SnapshotCodec.h"
#include "RouteServing/Routing/UpstreamRegistry.h"
#include "RouteServing/Routing/UpstreamSubset.h"

#include <benchmark/benchmark.h>

namespace {

using namespace Brassladder;
using namespace Brassladder::RouteServing;
using namespace std::chrono_literals;

constexpr Common::TimePoint s_now(1h);

std::vector<Routing::UpstreamRecord> engines(int64_t count)
{
    std::vector<Routing::UpstreamRecord> records;
    for (int64_t number = 0; number < count; ++number) {
        Common::Endpoint endpoint { "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250), 8080 };
        records.push_back({ "i-" + std::to_string(number), "model", endpoint, "domain", 32, false });
    }
    return records;
}

void placeGeneration(benchmark::State& state)
{
    Routing::UpstreamRegistry registry("domain");
    registry.setUpstreams(engines(state.range(0)));
    Routing::Prompt prompt { 8000, 200, { { 1, 2000 }, { 2, 4000 }, { 3, 2000 } } };
    Routing::UpstreamRegistry::PlacementRequest request;
    request.service = "model";
    request.prompt = &prompt;
    request.engine = { 32, false };
    request.due = s_now + 1s;
    for (auto _ : state)
        benchmark::DoNotOptimize(registry.choose(request, s_now));
}
BENCHMARK(placeGeneration)->Arg(60)->Arg(600)->Arg(6000);

void describeUnchangedList(benchmark::State& state)
{
    Routing::UpstreamRegistry registry("domain");
    registry.setUpstreams(engines(state.range(0)));
    for (auto _ : state)
        benchmark::DoNotOptimize(registry.digest());
}
BENCHMARK(describeUnchangedList)->Arg(60)->Arg(600)->Arg(6000);

void describeOneChange(benchmark::State& state)
{
    Routing::UpstreamRegistry registry("domain");
    auto list = engines(state.range(0));
    registry.setUpstreams(list);
    auto before = registry.digest();
    list.front().leaving = true;
    registry.setUpstreams(list);
    for (auto _ : state)
        benchmark::DoNotOptimize(Gateway::packUpstreamChanges(*registry.changesSince(before), s_now));
}
BENCHMARK(describeOneChange)->Arg(60)->Arg(600)->Arg(6000);

void packCompleteList(benchmark::State& state)
{
    auto list = engines(state.range(0));
    size_t bytes = 0;
    for (auto _ : state)
        bytes = Gateway::packUpstreams(list, s_now).size();
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(packCompleteList)->Arg(60)->Arg(600)->Arg(6000);

void selectSubset(benchmark::State& state)
{
    auto list = engines(state.range(0));
    Routing::UpstreamSubset subset;
    for (auto _ : state)
        benchmark::DoNotOptimize(subset.select(list, [](auto) { return Routing::UpstreamSubset::Demand { 300 }; }));
}
BENCHMARK(selectSubset)->Arg(60)->Arg(600)->Arg(6000);

} // namespace

BENCHMARK_MAIN();
