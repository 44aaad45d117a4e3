// SPDX-License-Identifier: Apache-2.0
// Measures how long it takes to apply one changed file to a configuration with many workspaces.
#include "Common/Precompiled.h"

#include "ClassServing/Config/Table.h"
#include "Common/Digest.h"

#include <benchmark/benchmark.h>

using namespace Brassladder;

static std::string publish(const std::string& name, uint64_t base, uint64_t number)
{
    Common::Json file = { { "name", name },
        { "key_digests", { Common::sha256Hex(name), Common::sha256Hex(name + "2") } }, { "default_class", "chat" },
        { "classes", { "chat", "urgent", "draft", "overnight" } }, { "weight", 1 + number % 100 } };
    auto content = Common::dumpJson(file);
    return ClassServing::Config::encodeRecord(ClassServing::Config::PublishRecord {
        "workspace/" + name, base, std::to_string(number), Common::sha256Hex(content), content });
}

static void putOneChangeInForce(benchmark::State& state)
{
    ClassServing::Config::Fold fold;
    ClassServing::Config::Compiler compiler;
    uint64_t offset = 0;
    for (int64_t index = 0; index < state.range(0); ++index) {
        ++offset;
        fold.apply(offset, 0, publish("w" + std::to_string(index), 0, offset));
    }
    compiler.compile(fold);
    uint64_t version = fold.versionOf("workspace/w0");
    for (auto _ : state) {
        ++offset;
        fold.apply(offset, 0, publish("w0", version, offset));
        version = offset;
        benchmark::DoNotOptimize(compiler.compile(fold));
    }
}

BENCHMARK(putOneChangeInForce)->Arg(10)->Arg(430)->Arg(4300)->Unit(benchmark::kMicrosecond);
BENCHMARK_MAIN();
