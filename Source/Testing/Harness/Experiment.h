// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Testing/Harness/Cluster.h"
#include "Testing/Load/Generator.h"

namespace Brassladder::Testing::Harness {

// A fault or process event at a given time of a run.
struct Event {
    double atSeconds { 0 };
    std::string kind; // "kill", "freeze", "thaw", "fault", "kill_home".
    std::string target; // A node, or for `kill_home` a pool.
    Common::Json faults;
};

// Contents of a scenario file.
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

// Reads a scenario. Returns all faults of the file if it is invalid.
std::variant<Scenario, std::vector<Common::Fault>> readScenario(const std::string& path);

// Results of a run with one seed.
struct Outcome {
    Load::Report report;
    std::vector<Load::CallRecord> history;
    uint64_t generatedTokens { 0 }; // Tokens of all engines that still run at the end.
    uint64_t usefulTokens { 0 };
    // Useful tokens until the end of the load, relative to the ideal engines; 1 is the upper bound.
    double goodput { 0 };
    // Time in which the ideal engines finish all requests, divided by the measured time.
    double finish { 0 };
    double wastedFraction() const;
};

// Runs the scenario on a new cluster.
Outcome runScenario(Common::FiberRuntime&, const Scenario&, uint64_t seed);

} // namespace Brassladder::Testing::Harness
