// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/Scheduling/WorkerLedger.h"

#include <random>
#include <string>
#include <vector>

namespace Brassladder::ClassServing::Scheduling {

// How a router places requests. The last two are baselines to measure against: each router decides alone.
enum class Placement { SharedQueue, RoundRobin, TwoChoices };

// The choice of a router that decides alone, on load reports that lag.
class LocalChoice {
public:
    LocalChoice(Placement placement, uint64_t seed)
        : m_placement(placement)
        , m_random(seed)
    {
    }

    struct Candidate {
        std::string id;
        uint32_t reportedLoad { 0 }; // Running and waiting.
    };
    // Empty when there is no candidate.
    std::string choose(std::span<const Candidate>);

private:
    Placement m_placement;
    std::mt19937_64 m_random;
    size_t m_next { 0 };
};

} // namespace Brassladder::ClassServing::Scheduling
