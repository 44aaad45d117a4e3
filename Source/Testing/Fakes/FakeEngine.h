// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HttpServer.h"
#include "Common/Precompiled.h"

#include <deque>
#include <list>
#include <set>

// Test doubles for the systems that the product depends on. Each has switches for fault injection.
namespace Brassladder::Testing::Fakes {

// A model engine with continuous batching: each step produces one token for every running generation. It honours
// priorities, caches prompt prefixes, pauses and resumes generations, and reports its load with a delay.
//
// The response is derived from the prompt, which lets a client verify it: a prompt with `nonce=N len=L` produces the
// tokens "N:0 N:1 ... N:(L-1) ".
class FakeEngine {
public:
    struct Options {
        std::chrono::microseconds step { 5000 };
        uint32_t slots { 8 };
        uint32_t prefillSteps { 4 }; // Steps before the first token if the prefix is not cached.
        size_t cachedPrefixes { 64 };
        size_t maxPaused { 64 };
        Common::Milliseconds reportLag { 1000 };
    };

    explicit FakeEngine(Options);

    void handle(Common::HttpExchange&);
    // Runs the steps. Must be called in a dedicated fiber.
    void run();

private:
    enum class State { Waiting, Running, Paused, Finished, Cut };
    struct Generation {
        std::string id;
        std::string nonce;
        uint32_t length { 0 };
        uint32_t produced { 0 };
        uint32_t prefillLeft { 0 };
        uint32_t priority { 0 };
        uint64_t order { 0 };
        State state { State::Waiting };
        boost::fibers::condition_variable changed;
    };
    using GenerationPtr = std::shared_ptr<Generation>;
    struct Faults {
        double slowFactor { 1 };
        int64_t cutAfterTokens { -1 }; // Cuts each generation after this many tokens; -1: never.
        bool cutCleanly { false }; // Ends cut responses as valid HTTP, without the end marker.
        bool leaving { false };
        bool refuse { false };
        int64_t reportedLoad { -1 }; // Reported number of running requests; -1: the actual number.
    };
    struct Report {
        Common::TimePoint at;
        uint32_t running { 0 };
        uint32_t waiting { 0 };
    };

    void generate(Common::HttpExchange&);
    void resume(Common::HttpExchange&, const std::string& id);
    void pause(Common::HttpExchange&, const std::string& id);
    void setFaults(Common::HttpExchange&);
    void reportLoad(Common::HttpExchange&);
    void counters(Common::HttpExchange&);
    void stream(Common::HttpExchange&, const GenerationPtr&, uint32_t from);
    void admit();
    void step();
    void removeGeneration(const GenerationPtr&);

    Options m_options;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_work;
    std::vector<GenerationPtr> m_running;
    std::set<std::tuple<uint32_t, uint64_t, GenerationPtr>> m_waiting; // Sorted by priority, then by arrival.
    std::unordered_map<std::string, GenerationPtr> m_paused;
    std::deque<std::string> m_pausedOrder;
    std::list<uint64_t> m_prefixes; // Most recent first.
    std::deque<Report> m_reports;
    Faults m_faults;
    uint64_t m_nextOrder { 0 };
    uint64_t m_tokens { 0 };
    uint64_t m_prefixHits { 0 };
    uint64_t m_starts { 0 };
    std::unordered_map<std::string, uint32_t> m_startsById;
};

} // namespace Brassladder::Testing::Fakes
