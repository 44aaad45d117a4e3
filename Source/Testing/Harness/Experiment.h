// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Testing/Harness/Cluster.h"
#include "Testing/Load/Generator.h"

namespace Brassladder::Testing::Harness {

// Something that happens to the cluster in the middle of a run.
struct Event {
    double atSeconds { 0 };
    std::string kind; // "kill", "freeze", "thaw", "fault", "kill_home".
    std::string target; // A node, or for `kill_home` a pool.
    Common::Json faults;
};

// One scenario file: the cluster, the load and the events.
struct Scenario {
    std::string name;
    std::string configFolder; // Relative to the scenario file.
    int engines { 9 };
    int routers { 7 };
    EngineOptions engine;
    std::string service;
    int services { 3 };
    std::vector<std::string> domains;
    std::vector<Event> events;
    Load::Plan load;
};

// Reads a scenario; all faults in one go.
std::variant<Scenario, std::vector<Common::Fault>> readScenario(const std::string& path);

// What one run with one seed gave.
struct Outcome {
    Load::Report report;
    std::vector<Load::CallRecord> history;
    uint64_t generatedTokens { 0 }; // By all engines that lived to the end.
    uint64_t usefulTokens { 0 };
    // Useful tokens until the end of the load, against engines with perfect knowledge; 1 is the bound.
    double goodput { 0 };
    // The time in which such engines would have finished everything, over the time that it took.
    double finish { 0 };
    double wastedFraction() const;
};

// Runs the scenario on a cluster of its own.
Outcome runScenario(Common::FiberRuntime&, const Scenario&, uint64_t seed);

} // namespace Brassladder::Testing::Harness
