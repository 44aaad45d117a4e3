// SPDX-License-Identifier: Apache-2.0
// Measures the hash of a request without its body, and the full request identity.
#include "Common/Precompiled.h"

#include "RouteServing/Routing/RequestIdentity.h"

#include <benchmark/benchmark.h>

using namespace Brassladder::RouteServing::Routing;

static RequestTraits requestWith(std::string_view body)
{
    return { "workspace-12", "POST", "chat.example", "/summaries/2f?lang=es", body };
}

static void targetAlone(benchmark::State& state)
{
    RequestHasher hasher("fleet key");
    for (auto step : state)
        benchmark::DoNotOptimize(hasher.headHash(requestWith("")));
}
BENCHMARK(targetAlone);

static void wholeIdentity(benchmark::State& state)
{
    RequestHasher hasher("fleet key");
    std::string body(static_cast<size_t>(state.range(0)), 'b');
    for (auto step : state)
        benchmark::DoNotOptimize(hasher.identity(requestWith(body)));
}
BENCHMARK(wholeIdentity)->Arg(800)->Arg(110'000);

BENCHMARK_MAIN();
