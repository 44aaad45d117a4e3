// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/Program.h"
#include "Testing/Harness/Experiment.h"

#include <absl/flags/flag.h>
#include <fstream>
#include <iostream>

using namespace Brassladder;

ABSL_FLAG(int, seeds, 5, "Number of runs; seeds start at 1");
ABSL_FLAG(std::string, json, "", "File for the results");

// Formats median, minimum and maximum over the seeds.
static std::string formatSpread(std::vector<double> values, double factor)
{
    std::sort(values.begin(), values.end());
    char text[64];
    std::snprintf(text, sizeof text, "%7.2f (%.2f to %.2f)", factor * values[values.size() / 2],
        factor * values.front(), factor * values.back());
    return text;
}

static void printOutcomes(const std::vector<Testing::Harness::Outcome>& outcomes)
{
    std::cout << "\n" << outcomes.size() << " seeds: median (minimum to maximum)\n";
    std::vector<double> goodput;
    std::vector<double> finish;
    std::vector<double> wasted;
    std::map<std::string, std::vector<double>> attained;
    std::map<std::string, std::vector<double>> longest;
    for (const auto& outcome : outcomes) {
        goodput.push_back(outcome.goodput);
        finish.push_back(outcome.finish);
        wasted.push_back(outcome.wastedFraction());
        for (const auto& [name, each] : outcome.report) {
            attained[name].push_back(each.attainment());
            longest[name].push_back(each.maxFirstSeconds);
        }
    }
    std::cout << "  goodput, % of the bound   " << formatSpread(goodput, 100) << "\n  finish, % of the bound    "
              << formatSpread(finish, 100) << "\n  wasted tokens, %          " << formatSpread(wasted, 100) << "\n";
    for (const auto& [name, values] : attained)
        std::cout << "  " << name << std::string(name.size() < 16 ? 16 - name.size() : 1, ' ') << "attained % "
                  << formatSpread(values, 100) << "  longest first, s " << formatSpread(longest[name], 1) << "\n";
    std::cout << "  first seed:\n" << Testing::Load::toTable(outcomes.front().report);
}

int main(int argc, char** argv)
{
    auto words = Common::parseCommandLine(
        argc, argv, "Runs a scenario of class serving with several seeds.\n  brassladder-experiment FILE");
    if (words.size() != 1)
        Common::exitProcess(Common::ExitCode::Usage);
    auto read = Testing::Harness::readScenario(words[0]);
    if (const auto* faults = std::get_if<std::vector<Common::Fault>>(&read)) {
        std::cerr << Common::describe(*faults);
        Common::exitProcess(Common::ExitCode::Usage);
    }
    const auto& scenario = std::get<Testing::Harness::Scenario>(read);
    auto& runtime = Common::FiberRuntime::start(2);
    std::cout << "scenario " << scenario.name << ": " << scenario.engines << " engines x " << scenario.engine.slots
              << " slots, step " << scenario.engine.stepMicros << " us, " << scenario.routers << " routers\n";
    Common::Json results = Common::Json::array();
    std::vector<Testing::Harness::Outcome> outcomes;
    for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
        outcomes.push_back(Testing::Harness::runScenario(runtime, scenario, static_cast<uint64_t>(seed)));
        const auto& last = outcomes.back();
        results.push_back({ { "seed", seed }, { "goodput", last.goodput }, { "finish", last.finish },
            { "wasted", last.wastedFraction() }, { "classes", Testing::Load::toJson(last.report) } });
    }
    printOutcomes(outcomes);
    if (auto file = absl::GetFlag(FLAGS_json); !file.empty())
        std::ofstream(file) << results.dump(2) << "\n";
    Common::exitProcess(Common::ExitCode::Success);
}
