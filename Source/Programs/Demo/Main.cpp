// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/Digest.h"
#include "Common/Program.h"
#include "Testing/Harness/Cluster.h"
#include "Testing/Load/Generator.h"

#include <iostream>

using namespace Brassladder;

// An example organisation.
struct Site {
    std::string folder;
    int engines;
    std::string service;
    int services;
    std::vector<std::string> domains;
};

// Sends one call of each kind of the plan through every router and prints the results.
static bool runSampleCalls(Testing::Harness::Cluster& cluster, const Testing::Load::Plan& plan)
{
    bool success = true;
    for (const auto& router : plan.routers) {
        uint32_t number = 0;
        for (const auto& arrivals : plan.arrivals) {
            Testing::Load::Call call { &arrivals, "demo" + std::to_string(++number), 8,
                arrivals.idempotencyKey ? Common::randomId() : "", "" };
            auto record = cluster.runtime().call([&] { return Testing::Load::callRouter(router, call); });
            std::cout << "  " << router.text() << "  " << arrivals.requestClass
                      << (arrivals.servicePath.empty() ? arrivals.stream ? " (stream)" : " (whole)" : " (service)")
                      << "  " << (record.isComplete ? "complete response" : "INCOMPLETE RESPONSE " + record.refusal)
                      << "  first after " << static_cast<int>(record.firstSeconds * 1000) << " ms, " << record.tokens
                      << " tokens, request " << record.requestId << "\n";
            success = success && record.isComplete && !record.isCorrupt;
        }
    }
    return success;
}

static bool runSite(Common::FiberRuntime& runtime, const std::string& examples, const Site& site)
{
    std::cout << "\n== " << site.folder << ": " << site.engines << " engines, " << site.services << " instances of "
              << site.service << ", 3 routers\n";
    auto files = Operator::readConfigurationFolder(examples + "/" + site.folder + "/config");
    auto scenario = Common::readJsonFile(examples + "/" + site.folder + "/demo-load.json");
    if (isError(files) || isError(scenario)) {
        std::cerr << "cannot read the configuration or demo-load.json of an example\n";
        return false;
    }
    auto plan = std::get<Testing::Load::Plan>(Testing::Load::parsePlan(valueOf(scenario)));
    Testing::Harness::Cluster cluster(runtime);
    auto domain = [&](int index) { return site.domains[static_cast<size_t>(index) % site.domains.size()]; };
    for (int index = 0; index < site.engines; ++index)
        cluster.addEngine("engine-" + std::to_string(index), "language", {}, domain(index));
    for (int index = 0; index < site.services; ++index)
        cluster.addService(site.service + "-" + std::to_string(index), site.service, 2, domain(index));
    for (int index = 0; index < 3; ++index)
        cluster.addRouter("router-" + std::to_string(index), { { "/failure_domain", domain(index) } });
    cluster.publish(valueOf(files));
    plan.routers = cluster.routers();
    bool success = runSampleCalls(cluster, plan);
    auto report = Testing::Load::summarize(plan, Testing::Load::run(runtime, plan));
    std::cout << "\n" << Testing::Load::toTable(report);
    for (const auto& [name, each] : report)
        success = success && !each.corrupted && each.completed == each.requests;
    return success;
}

int main(int argc, char** argv)
{
    auto words = Common::parseCommandLine(
        argc, argv, "Runs the load of both example organisations.\n  brassladder-demo EXAMPLES-FOLDER");
    if (words.size() != 1)
        Common::exitProcess(Common::ExitCode::Usage);
    auto& runtime = Common::FiberRuntime::start(2);
    bool success = runSite(runtime, words[0], { "cantabrica", 9, "orders", 3, { "bilbao", "santander", "oviedo" } });
    success = runSite(runtime, words[0], { "charge-trust", 12, "bays", 3, { "hobart-a", "hobart-b", "kingston" } })
        && success;
    std::cout << (success ? "\nevery response was complete and matched its request\n"
                          : "\nFAILED: incomplete or mismatched responses\n");
    Common::exitProcess(success ? Common::ExitCode::Success : Common::ExitCode::Failure);
}
