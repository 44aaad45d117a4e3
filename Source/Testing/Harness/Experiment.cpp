// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Testing/Harness/Experiment.h"

#include <filesystem>
#include <iostream>
#include <thread>

namespace Brassladder::Testing::Harness {

using Common::Fault;
using Common::Json;
using Common::member;

static std::vector<std::string> stringsOf(const Json& json, std::string_view key)
{
    std::vector<std::string> list;
    if (json.contains(key) && json[std::string(key)].is_array()) {
        for (const auto& item : json[std::string(key)]) {
            if (item.is_string())
                list.push_back(item.get<std::string>());
        }
    }
    return list;
}

std::variant<Scenario, std::vector<Fault>> readScenario(const std::string& path)
{
    auto file = Common::readJsonFile(path);
    if (isError(file))
        return std::vector<Fault> { { path, errorOf(file).message } };
    const auto& json = valueOf(file);
    if (!json.is_object() || !json.contains("cluster") || !json.contains("load"))
        return std::vector<Fault> { { "", "expected an object with `cluster` and `load`" } };
    const auto& cluster = json["cluster"];
    Scenario scenario;
    scenario.name = std::filesystem::path(path).stem().string();
    scenario.configFolder
        = (std::filesystem::path(path).parent_path() / member<std::string>(cluster, "config", "")).string();
    scenario.engines = member<int>(cluster, "engines", scenario.engines);
    scenario.routers = member<int>(cluster, "routers", scenario.routers);
    scenario.engine.stepMicros = member<int64_t>(cluster, "step_us", scenario.engine.stepMicros);
    scenario.engine.slots = member<int64_t>(cluster, "slots", scenario.engine.slots);
    scenario.engine.reportLagMs = member<int64_t>(cluster, "report_lag_ms", scenario.engine.reportLagMs);
    scenario.service = member<std::string>(cluster, "service", "");
    scenario.services = member<int>(cluster, "services", scenario.services);
    scenario.domains = stringsOf(cluster, "domains");
    if (json.contains("events")) {
        for (const auto& event : json["events"])
            scenario.events.push_back({ member<double>(event, "at_s", 0), member<std::string>(event, "kind", ""),
                member<std::string>(event, "target", ""), event.value("faults", Json::object()) });
    }
    auto load = Load::parsePlan(json["load"]);
    if (auto* faults = std::get_if<std::vector<Fault>>(&load))
        return *faults;
    scenario.load = std::get<Load::Plan>(load);
    if (scenario.domains.empty())
        return std::vector<Fault> { { "/cluster/domains", "expected an array of strings" } };
    return scenario;
}

static void build(Cluster& cluster, const Scenario& scenario)
{
    auto domain = [&](int index) { return scenario.domains[static_cast<size_t>(index) % scenario.domains.size()]; };
    for (int index = 0; index < scenario.engines; ++index)
        cluster.addEngine("engine-" + std::to_string(index), "language", scenario.engine, domain(index));
    for (int index = 0; index < scenario.services && !scenario.service.empty(); ++index)
        cluster.addService(scenario.service + "-" + std::to_string(index), scenario.service, 2, domain(index));
    for (int index = 0; index < scenario.routers; ++index)
        cluster.addRouter(
            "router-" + std::to_string(index), { { "/failure_domain", domain(index) }, { "/threads", "1" } });
    cluster.publish(valueOf(Operator::readConfigurationFolder(scenario.configFolder)));
}

static void apply(Cluster& cluster, const Event& event)
{
    if (event.kind == "kill")
        cluster.kill(event.target);
    else if (event.kind == "kill_home")
        cluster.kill(cluster.homeOf(event.target));
    else if (event.kind == "freeze")
        cluster.freeze(event.target);
    else if (event.kind == "thaw")
        cluster.thaw(event.target);
    else if (event.kind == "fault")
        cluster.fault(event.target, event.faults);
    else
        std::cerr << "unknown event kind " << event.kind << "\n";
}

// Returns the effective number of slots at a time. A killed engine counts as zero, an engine that is four times slower
// as a quarter.
static double slotsAt(const Scenario& scenario, double seconds)
{
    double engines = scenario.engines;
    for (const auto& event : scenario.events) {
        if (event.atSeconds > seconds)
            continue;
        if (event.kind == "kill" && event.target.starts_with("engine"))
            engines -= 1;
        if (event.kind == "fault" && event.faults.contains("slow_factor"))
            engines -= 1 - 1 / event.faults["slow_factor"].get<double>();
    }
    return engines * static_cast<double>(scenario.engine.slots);
}

namespace {

// Upper bound for the engines: in a fluid model, every slot produces a token in every step while there is work, and no
// response finishes sooner than its tokens times the step. Prefill takes no time in the model, so a real engine is
// always slightly worse than the bound.
struct IdealRun {
    double finishSeconds { 0 };
    double tokensInLoad { 0 };
};

} // namespace

static IdealRun idealRun(const Scenario& scenario, std::span<const Load::CallRecord> history)
{
    // Step of the fluid model in seconds.
    static constexpr double slice = 0.01;
    double step = static_cast<double>(scenario.engine.stepMicros) / 1e6;
    std::vector<std::pair<double, double>> arrivals;
    IdealRun run;
    for (const auto& record : history) {
        arrivals.emplace_back(record.intendedSeconds, record.requestedTokens * step);
        run.finishSeconds = std::max(run.finishSeconds, record.intendedSeconds + record.requestedTokens * step);
    }
    std::sort(arrivals.begin(), arrivals.end());
    double backlog = 0;
    double time = 0;
    for (size_t next = 0; next < arrivals.size() || backlog > 0; time += slice) {
        for (; next < arrivals.size() && arrivals[next].first <= time; ++next)
            backlog += arrivals[next].second;
        double done = std::min(backlog, slotsAt(scenario, time) * slice);
        backlog -= done;
        if (time < scenario.load.seconds)
            run.tokensInLoad += done / step;
    }
    run.finishSeconds = std::max(run.finishSeconds, time);
    return run;
}

static void computeEfficiency(const Scenario& scenario, uint64_t tokensInLoad, Outcome& outcome)
{
    auto ideal = idealRun(scenario, outcome.history);
    double last = 0;
    for (const auto& record : outcome.history)
        last = std::max(last, record.intendedSeconds + record.totalSeconds);
    outcome.finish = last > 0 ? std::min(1.0, ideal.finishSeconds / last) : 1;
    double useful = static_cast<double>(tokensInLoad) * (1 - outcome.wastedFraction());
    outcome.goodput = ideal.tokensInLoad > 0 ? useful / ideal.tokensInLoad : 1;
}

static uint64_t generatedTokens(Cluster& cluster)
{
    uint64_t sum = 0;
    for (const auto& engine : cluster.idsOf("language"))
        sum += member<uint64_t>(cluster.counters(engine), "tokens", 0);
    return sum;
}

double Outcome::wastedFraction() const
{
    if (!generatedTokens || generatedTokens <= usefulTokens)
        return 0;
    return static_cast<double>(generatedTokens - usefulTokens) / static_cast<double>(generatedTokens);
}

Outcome runScenario(Common::FiberRuntime& runtime, const Scenario& scenario, uint64_t seed)
{
    Cluster cluster(runtime);
    build(cluster, scenario);
    auto plan = scenario.load;
    plan.seed = seed;
    plan.routers = cluster.routers();
    auto start = Common::now();
    std::thread events([&] {
        for (const auto& event : scenario.events) {
            std::this_thread::sleep_until(
                start + std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(event.atSeconds)));
            apply(cluster, event);
        }
    });
    uint64_t tokensInLoad = 0;
    std::thread endOfLoad([&] {
        std::this_thread::sleep_until(
            start + std::chrono::duration_cast<Common::Duration>(std::chrono::duration<double>(plan.seconds)));
        tokensInLoad = generatedTokens(cluster);
    });
    Outcome outcome;
    outcome.history = Load::run(runtime, plan);
    events.join();
    endOfLoad.join();
    outcome.report = Load::summarize(plan, outcome.history);
    outcome.generatedTokens = generatedTokens(cluster);
    for (const auto& [name, each] : outcome.report)
        outcome.usefulTokens += each.usefulTokens;
    computeEfficiency(scenario, tokensInLoad, outcome);
    return outcome;
}

} // namespace Brassladder::Testing::Harness
