// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Prompt.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Brassladder::Testing::Fakes {

// A model engine on virtual time, without a network: continuous batching, chunked prefill, a prefix cache, and a
// priority queue. Properties that routers cannot observe, such as the response length, are part of the generation.
class SimulatedEngine {
public:
    // Timings of a 70-billion-parameter model on four accelerators.
    struct Traits {
        size_t batch { 64 };
        double stepMs { 5.55 };
        double stepMsPerRunning { 0.029 };
        double prefillTokensPerMs { 42.6 };
        uint32_t chunkTokens { 2048 }; // Maximum prefilled tokens per step.
        double slowdown { 1 }; // Factor on the duration of each step.
        unsigned tokensPerEvent { 3 };
        uint64_t cacheTokens { 200'000 }; // Capacity for prefixes. The memory of running generations is not modelled.
    };
    struct Generation {
        uint64_t number { 0 }; // Assigned by the test.
        RouteServing::Routing::Prompt prompt;
        uint32_t outputTokens { 0 };
        size_t level { 0 }; // 0 is the most urgent.
    };
    struct Event {
        uint64_t generation { 0 };
        Common::TimePoint at;
        bool isLast { false };
    };

    explicit SimulatedEngine(const Traits& traits)
        : m_traits(traits)
    {
    }

    void submit(const Generation&, Common::TimePoint now);
    // Removes the generation after its caller has disconnected.
    void cancel(uint64_t generation);
    // Advances the engine to the given time. Returns the events of that period.
    std::vector<Event> runUntil(Common::TimePoint);
    bool hasCached(uint64_t prefix) const { return m_cache.contains(prefix); }
    // Returns the prefilled tokens of shared prefixes, which a cached prefix would have saved.
    uint64_t prefixTokens() const { return m_prefixTokens; }
    bool isIdle() const { return m_waiting.empty() && m_running.empty(); }

private:
    struct RunningGeneration {
        Generation generation;
        uint32_t tokensToPrefill { 0 };
        uint32_t decodedTokens { 0 };
    };
    void admit();
    uint32_t prefill();
    void decode(std::vector<Event>&);
    void cachePrefix(const RouteServing::Routing::Prompt&);

    Traits m_traits;
    Common::TimePoint m_now {};
    std::map<std::pair<size_t, uint64_t>, Generation> m_waiting; // Sorted by level, then by arrival.
    uint64_t m_arrivals { 0 };
    std::vector<RunningGeneration> m_running;
    std::map<uint64_t, std::pair<uint64_t, uint32_t>> m_cache; // Maps a prefix to its last use and its tokens.
    uint64_t m_cachedTokens { 0 };
    uint64_t m_useCounter { 0 };
    uint64_t m_prefixTokens { 0 };
};

} // namespace Brassladder::Testing::Fakes
