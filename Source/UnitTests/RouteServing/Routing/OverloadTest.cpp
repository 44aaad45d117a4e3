// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/UpstreamRegistry.h"
#include "RouteServing/Routing/Urgency.h"
#include "Testing/Fakes/SimulatedEngine.h"

#include <functional>
#include <gtest/gtest.h>
#include <random>

// Simulates bursts on virtual time with the placement rules and simulated engines, and checks the outcome for callers.
namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Testing::Fakes::SimulatedEngine;

namespace {

// The load of one route.
struct RouteLoad {
    unsigned priority { 0 };
    double perSecond { 0 };
    uint32_t sharedTokens { 0 };
    unsigned prefixes { 1 };
    double ownTokens { 0 }; // Mean of a log-normal distribution, because long prompts are rare.
    uint32_t outputTokens { 0 };
    Common::Milliseconds objective { 600 };
    // The caller cancels if no event arrives within this time.
    Common::Milliseconds callerTimeout { 2400 };
};

// The outcome for the callers of one route.
struct RouteOutcome {
    unsigned sent { 0 };
    unsigned inTime { 0 }; // First event within the objective.
    unsigned late { 0 };
    double inTimeShare() const { return static_cast<double>(inTime) / sent; }
    double servedShare() const { return static_cast<double>(inTime + late) / sent; }
};

// Returns the engine's priority level for a generation.
using LevelRule = std::function<size_t(const UrgencyScale&, unsigned routePriority, Punctuality)>;

size_t byRouteAndPunctuality(const UrgencyScale& urgency, unsigned routePriority, Punctuality punctuality)
{
    return urgency.level(urgency.rank(1, routePriority), punctuality, 10);
}

class BurstSimulation {
public:
    BurstSimulation(std::vector<RouteLoad> loads, LevelRule levelRule)
        : m_loads(std::move(loads))
        , m_levelRule(std::move(levelRule))
        , m_outcomes(m_loads.size())
    {
        std::vector<UpstreamRecord> records;
        for (size_t index = 0; index < engineCount; ++index) {
            records.push_back({ "e" + std::to_string(index), "model", { "127.0.0.1", 1 }, "north", 64, false });
            m_engines.try_emplace(records.back().id, SimulatedEngine::Traits {});
        }
        m_registry.setUpstreams(records);
        m_urgency.addWorkspace(1);
        for (const auto& load : m_loads)
            m_urgency.addRoute(load.priority);
    }

    // Requests during the warm-up, while the engines' speed is still unknown, are not counted.
    std::vector<RouteOutcome> run(Common::Milliseconds warmUp, Common::Milliseconds length)
    {
        for (; m_now < m_begin + warmUp + length; m_now += 1ms) {
            m_isCounted = m_now >= m_begin + warmUp;
            for (size_t routeIndex = 0; routeIndex < m_loads.size(); ++routeIndex) {
                if (std::bernoulli_distribution(m_loads[routeIndex].perSecond / 1000)(m_random))
                    send(routeIndex);
            }
            advance();
        }
        auto end = m_now + 3s;
        for (; m_now < end; m_now += 1ms)
            advance();
        return m_outcomes;
    }

private:
    static constexpr size_t engineCount = 8;

    struct Call {
        size_t routeIndex { 0 };
        Common::TimePoint sent;
        UpstreamRegistry::Placement placement;
        bool hasEvent { false };
        bool isCounted { false };
    };

    Prompt promptOf(size_t routeIndex)
    {
        static constexpr double spread = 0.8;
        const auto& load = m_loads[routeIndex];
        std::lognormal_distribution<double> own(std::log(load.ownTokens) - spread * spread / 2, spread);
        auto ownTokens = static_cast<uint32_t>(own(m_random)) + 1;
        uint64_t prefix = 1000 * (routeIndex + 1) + m_random() % load.prefixes;
        return { load.sharedTokens + ownTokens, 2 * load.outputTokens,
            { { prefix, load.sharedTokens }, { 1'000'000 + m_sent, ownTokens } } };
    }

    void send(size_t routeIndex)
    {
        const auto& load = m_loads[routeIndex];
        auto prompt = promptOf(routeIndex);
        UpstreamRegistry::PlacementRequest request;
        request.service = "model";
        request.prompt = &prompt;
        request.engine = { 64, false };
        request.due = m_now + load.objective;
        Call call { routeIndex, m_now, *m_registry.choose(request, m_now), false, m_isCounted };
        m_registry.recordStart(call.placement);
        auto level = m_levelRule(m_urgency, load.priority, call.placement.punctuality);
        m_engines.at(call.placement.upstream.id).submit({ m_sent, prompt, load.outputTokens, level }, m_now);
        m_outcomes[routeIndex].sent += call.isCounted;
        m_calls.emplace(m_sent++, std::move(call));
    }

    void advance()
    {
        for (auto& [id, engine] : m_engines) {
            for (const auto& event : engine.runUntil(m_now))
                handleEvent(event);
        }
        std::erase_if(
            m_calls, [this](const auto& numbered) { return cancelIfTimedOut(numbered.first, numbered.second); });
    }

    void handleEvent(const SimulatedEngine::Event& event)
    {
        auto& call = m_calls.at(event.generation);
        if (!call.hasEvent) {
            call.hasEvent = true;
            m_registry.recordPrefillDone(call.placement, event.at);
            bool isInTime = event.at <= call.sent + m_loads[call.routeIndex].objective;
            auto& outcome = m_outcomes[call.routeIndex];
            (isInTime ? outcome.inTime : outcome.late) += call.isCounted;
        }
        if (event.isLast) {
            m_registry.recordEnd(call.placement, true, AttemptOutcome::Answered, event.at);
            m_calls.erase(event.generation);
        }
    }

    bool cancelIfTimedOut(uint64_t number, const Call& call)
    {
        if (call.hasEvent || m_now < call.sent + m_loads[call.routeIndex].callerTimeout)
            return false;
        m_engines.at(call.placement.upstream.id).cancel(number);
        m_registry.recordEnd(call.placement, false, AttemptOutcome::CancelledAfterSending, m_now);
        return true;
    }

    const Common::TimePoint m_begin { 1h };
    std::vector<RouteLoad> m_loads;
    LevelRule m_levelRule;
    UpstreamRegistry m_registry { "north" };
    UrgencyScale m_urgency;
    std::map<std::string, SimulatedEngine> m_engines;
    std::map<uint64_t, Call> m_calls; // In progress, by number.
    std::vector<RouteOutcome> m_outcomes;
    std::mt19937_64 m_random { 7 };
    Common::TimePoint m_now { m_begin };
    uint64_t m_sent { 0 };
    bool m_isCounted { false };
};

// Indices into the loads of burst().
constexpr size_t prompts = 0;
constexpr size_t chats = 1;

// Long prompts that mostly share a prefix, and chats with long responses.
std::vector<RouteLoad> burst(double promptsPerSecond)
{
    return { { 1, promptsPerSecond, 6300, 40, 2890, 51, 600ms, 2400ms }, { 0, 30, 200, 8, 630, 290, 600ms, 2400ms } };
}

} // namespace

// 80 prompts per second exceed what the engines can prefill in time. If served in order of arrival, most would be late.
TEST(OverloadTest, GenerationsThatCanStillBeInTimeGoFirst)
{
    auto withoutRule = BurstSimulation(burst(80), [](const auto& urgency, unsigned priority, Punctuality) {
        return byRouteAndPunctuality(urgency, priority, Punctuality::OnTime);
    }).run(2s, 9s);
    auto withRule = BurstSimulation(burst(80), byRouteAndPunctuality).run(2s, 9s);
    EXPECT_LT(withoutRule[prompts].inTimeShare(), 0.25);
    EXPECT_GT(withRule[prompts].inTimeShare(), 0.63);
    EXPECT_GT(withRule[prompts].servedShare(), withoutRule[prompts].servedShare() + 0.1)
        << "late prompts are not starved";
}

// All workspaces have the same priority. Without the route's priority, urgent chats would wait behind long prompts.
TEST(OverloadTest, AnUrgentRouteDoesNotWaitBehindALessUrgentOne)
{
    auto withoutRule
        = BurstSimulation(burst(80), [](const auto&, unsigned, Punctuality) { return size_t(0); }).run(2s, 9s);
    auto withRule = BurstSimulation(burst(80), byRouteAndPunctuality).run(2s, 9s);
    EXPECT_LT(withoutRule[chats].inTimeShare(), 0.93);
    EXPECT_GT(withRule[chats].inTimeShare(), 0.98);
}

// Long prompts become late first, but must not starve while there is capacity left.
TEST(OverloadTest, LateGenerationsAreServedWithRemainingCapacity)
{
    auto withRule = BurstSimulation(burst(30), byRouteAndPunctuality).run(2s, 9s);
    EXPECT_GT(withRule[prompts].inTimeShare(), 0.85);
    EXPECT_GT(withRule[prompts].servedShare(), 0.99);
    EXPECT_GT(withRule[chats].servedShare(), 0.99);
}

} // namespace Brassladder::RouteServing::Routing
