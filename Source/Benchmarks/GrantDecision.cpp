// SPDX-License-Identifier: Apache-2.0
// Measures one scheduling decision: a slot is released, the next request is granted, and another request joins the
// queue.
#include "Common/Precompiled.h"

#include "ClassServing/Scheduling/ShardScheduler.h"

#include <benchmark/benchmark.h>

using namespace Brassladder;
using namespace std::chrono_literals;

// A large site has 4,300 workspaces and 4 tiers. One shard has 16 workers.
static constexpr uint64_t workspaces = 4300;
static constexpr uint32_t workers = 16;
static constexpr uint32_t slots = 8;

static void grantDecision(benchmark::State& state)
{
    std::array<ClassServing::Scheduling::ClassPolicy, ClassServing::Scheduling::tierCount> policies;
    for (ClassServing::Scheduling::Tier tier = 0; tier < ClassServing::Scheduling::tierCount; ++tier) {
        policies[tier].name = "tier-" + std::to_string(tier);
        policies[tier].tier = tier;
        policies[tier].target = 1h;
        policies[tier].maxWait = 10'000h;
        policies[tier].guaranteeAfter = 10'000h;
        policies[tier].preemptible = tier > 0;
    }
    ClassServing::Scheduling::ShardScheduler shard({ 1, 200'000, true });
    std::vector<ClassServing::Scheduling::UpstreamInfo> infos;
    for (uint32_t index = 0; index < workers; ++index)
        infos.push_back({ "worker-" + std::to_string(index), slots, false });
    shard.setUpstreams(infos);
    Common::TimePoint now(1h);
    ClassServing::Scheduling::ShardScheduler::Decisions decisions;
    uint64_t sequence = 0;
    auto ask = [&] {
        ClassServing::Scheduling::Ask each;
        each.id = { 1, ++sequence };
        each.policy = &policies[sequence % ClassServing::Scheduling::tierCount];
        each.workspace = sequence * 2654435761u % workspaces;
        each.prefix = sequence % 64 + 1;
        each.arrived = now;
        shard.ask(each, now, decisions);
    };
    std::vector<ClassServing::Scheduling::AskId> running;
    auto decide = [&] {
        decisions.clear();
        shard.decide(now, decisions);
        for (const auto& decision : decisions) {
            if (const auto* grant = std::get_if<ClassServing::Scheduling::Grant>(&decision))
                running.push_back(grant->id);
        }
    };
    for (uint64_t index = 0; index < workers * slots; ++index)
        ask();
    decide();
    for (int64_t index = 0; index < state.range(0); ++index)
        ask();
    size_t next = 0;
    for (auto _ : state) {
        now += 10us;
        shard.release({ running[next], ClassServing::Scheduling::SlotOutcome::Completed, 20, 10ms }, now);
        running[next] = running.back();
        running.pop_back();
        next = running.empty() ? 0 : (next + 7) % running.size();
        ask();
        decide();
    }
    state.counters["waiting"] = static_cast<double>(shard.waitingCount());
}

BENCHMARK(grantDecision)->Arg(10)->Arg(1000)->Arg(100'000);
BENCHMARK_MAIN();
