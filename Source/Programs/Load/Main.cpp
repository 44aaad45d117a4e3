// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/Program.h"
#include "Testing/Load/Generator.h"

#include <absl/flags/flag.h>
#include <iostream>

using namespace Brassladder;

ABSL_FLAG(std::vector<std::string>, routers, {}, "Routers, ADDRESS:PORT separated by commas");
ABSL_FLAG(int, threads, 2, "Threads of the load generator");
ABSL_FLAG(bool, json, false, "Print JSON instead of a table");

static Testing::Load::Plan planOrExit(const std::vector<std::string>& words)
{
    if (words.size() != 2 || words[0] != "run") {
        std::cerr << "see brassladder-load --help\n";
        Common::exitProcess(Common::ExitCode::Usage);
    }
    auto file = Common::readJsonFile(words[1]);
    if (isError(file)) {
        std::cerr << errorOf(file).message << "\n";
        Common::exitProcess(Common::ExitCode::Usage);
    }
    // In a scenario of an experiment, the plan is the member `load`.
    bool isScenario = valueOf(file).is_object() && valueOf(file).contains("load");
    auto parsed = Testing::Load::parsePlan(isScenario ? valueOf(file)["load"] : valueOf(file));
    if (const auto* faults = std::get_if<std::vector<Common::Fault>>(&parsed)) {
        std::cerr << Common::describe(*faults);
        Common::exitProcess(Common::ExitCode::Usage);
    }
    auto plan = std::get<Testing::Load::Plan>(parsed);
    for (const auto& router : absl::GetFlag(FLAGS_routers))
        plan.routers.push_back(Common::endpointOrExit(router));
    if (plan.routers.empty()) {
        std::cerr << "--routers is required\n";
        Common::exitProcess(Common::ExitCode::Usage);
    }
    return plan;
}

int main(int argc, char** argv)
{
    auto words = Common::parseCommandLine(
        argc, argv, "Sends open-loop load and verifies every response.\n  brassladder-load run FILE --routers=A:P,...");
    auto plan = planOrExit(words);
    Common::blockSignals();
    auto& runtime = Common::FiberRuntime::start(static_cast<unsigned>(std::max(1, absl::GetFlag(FLAGS_threads))));
    auto report = Testing::Load::summarize(plan, Testing::Load::run(runtime, plan));
    std::cout << (absl::GetFlag(FLAGS_json) ? Common::dumpJson(Testing::Load::toJson(report)) + "\n"
                                            : Testing::Load::toTable(report));
    bool hasCorruptResponses
        = std::any_of(report.begin(), report.end(), [](const auto& item) { return item.second.corrupted; });
    Common::exitProcess(hasCorruptResponses ? Common::ExitCode::Failure : Common::ExitCode::Success);
}
