// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Prompt.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Brassladder::Testing::Fakes {

// A model engine on virtual time, without a network: continuous batching, prompts that are prefilled in chunks between
// the tokens of others, a prefix cache, and a queue by urgency. What no router sees, such as the length of a response,
// is given with the generation.
class SimulatedEngine {
public:
    // Of a 70-billion-parameter model on four accelerators, as the users' third site states them.
    struct Traits {
        size_t batch { 64 };
        double stepMs { 5.55 };
        double stepMsPerRunning { 0.029 };
        double prefillTokensPerMs { 42.6 };
        uint32_t chunkTokens { 2048 }; // Prefilled in one step at most.
        unsigned tokensPerEvent { 3 };
        uint64_t cacheTokens { 200'000 }; // For prefixes; what running generations hold is not modelled.
    };
    struct Generation {
        uint64_t number { 0 }; // Chosen by the test.
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
    // The caller has left: nothing more is done for it.
    void cancel(uint64_t generation);
    // Works until then, and returns the events that were made on the way.
    std::vector<Event> runUntil(Common::TimePoint);
    bool hasCached(uint64_t prefix) const { return m_cache.contains(prefix); }

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
    std::map<std::pair<size_t, uint64_t>, Generation> m_waiting; // By level, then in order of arrival.
    uint64_t m_arrivals { 0 };
    std::vector<RunningGeneration> m_running; // In order of admission.
    std::map<uint64_t, std::pair<uint64_t, uint32_t>> m_cache; // Prefix to its last use and its tokens.
    uint64_t m_cachedTokens { 0 };
    uint64_t m_useCounter { 0 };
};

} // namespace Brassladder::Testing::Fakes
