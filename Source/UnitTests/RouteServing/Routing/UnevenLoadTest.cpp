// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/EnginePlacement.h"
#include "RouteServing/Routing/Urgency.h"
#include "Testing/Fakes/SimulatedEngine.h"

#include <array>
#include <gtest/gtest.h>
#include <map>
#include <numeric>
#include <random>

// Simulates many routers that place generations of several classes on engines of different speed, on virtual time, and
// checks what callers get.
namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Testing::Fakes::SimulatedEngine;

namespace {

// The load of one route.
struct ClassLoad {
    unsigned priority { 0 };
    double perSecond { 0 };
    uint32_t sharedTokens { 0 };
    unsigned prefixes { 1 };
    uint32_t ownTokens { 0 };
    uint32_t events { 0 };
    Common::Milliseconds objective { 0 };
    Common::Milliseconds maxPause { 0 };
};

// What the callers of one class get.
struct ClassOutcome {
    unsigned sent { 0 };
    unsigned inTime { 0 }; // First event within the objective.
    unsigned withLongPause { 0 }; // A pause exceeded the bound.
    double inTimeShare() const { return static_cast<double>(inTime) / std::max(1U, sent); }
    double longPauseShare() const { return static_cast<double>(withLongPause) / std::max(1U, sent); }
};

// Which of the facts that a router may know it uses. A router without them decides as for equal engines without bounds.
struct KnownFacts {
    bool maxPauses { true };
    bool paces { true }; // Of the engines.
};

constexpr unsigned s_batch = 12;
constexpr unsigned s_tokensPerEvent = 8;
constexpr double s_prefillTokensPerMs = 66;
constexpr double s_stepMs = 3.9;
constexpr Common::Milliseconds s_exchangeInterval = 100ms;

SimulatedEngine::Traits traitsOf(double slowdown)
{
    SimulatedEngine::Traits traits;
    traits.batch = s_batch;
    traits.stepMs = s_stepMs;
    traits.prefillTokensPerMs = s_prefillTokensPerMs;
    traits.tokensPerEvent = s_tokensPerEvent;
    traits.cacheTokens = 100'000;
    traits.slowdown = slowdown;
    return traits;
}

class FleetSimulation {
public:
    FleetSimulation(std::vector<ClassLoad> loads, const std::vector<double>& slowdowns, size_t routers,
        KnownFacts known = {}, uint64_t seed = 7)
        : m_loads(std::move(loads))
        , m_slowdowns(slowdowns)
        , m_known(known)
        , m_routers(routers, Router(slowdowns.size()))
        , m_peersAndOwn(slowdowns.size())
        , m_outcomes(m_loads.size())
        , m_placed(slowdowns.size())
        , m_random(seed)
    {
        for (double slowdown : slowdowns) {
            m_ids.push_back("engine-" + std::to_string(m_ids.size()));
            m_engines.emplace_back(traitsOf(slowdown));
        }
        m_urgency.addWorkspace(1);
        for (const auto& load : m_loads)
            m_urgency.addRoute(load.priority);
    }

    // Generations that are sent during the warm-up, while the caches are empty, are not counted.
    void run(Common::Milliseconds warmUp, Common::Milliseconds length)
    {
        for (; m_now < m_begin + warmUp + length; m_now += 1ms) {
            if (!m_isCounted && m_now >= m_begin + warmUp) {
                m_isCounted = true;
                m_prefixTokensBefore = sumOfPrefixTokens();
            }
            if ((m_now - m_begin) % s_exchangeInterval == 0ms)
                exchangeLoads();
            sendAll();
            advance();
        }
        m_prefixTokens = sumOfPrefixTokens() - m_prefixTokensBefore;
        m_isCounted = false;
        for (auto end = m_now + 4s; m_now < end; m_now += 1ms)
            advance();
    }

    const std::vector<ClassOutcome>& outcomes() const { return m_outcomes; }
    // Prefilled tokens of shared prefixes that were not in the cache of the engine.
    uint64_t prefixTokens() const { return m_prefixTokens; }
    // Counted generations that were placed on each engine.
    const std::vector<unsigned>& placed() const { return m_placed; }
    // Whether some engine ran nothing for a whole second in which a generation that waited at another engine missed its
    // objective.
    bool wasIdleDuringMisses() const { return m_wasIdleDuringMisses; }

private:
    struct Load {
        double running { 0 };
        double decodeHeavy { 0 };
        double prefillTokens { 0 };
        void add(const Load& other, double sign = 1)
        {
            running += sign * other.running;
            decodeHeavy += sign * other.decodeHeavy;
            prefillTokens += sign * other.prefillTokens;
        }
    };
    struct Router {
        explicit Router(size_t engines)
            : own(engines)
            , ownAtExchange(engines)
        {
        }
        EnginePlacement placement;
        std::vector<Load> own; // By engine.
        std::vector<Load> ownAtExchange;
    };
    struct Call {
        size_t classIndex { 0 };
        size_t router { 0 };
        size_t engine { 0 };
        Load load;
        Common::TimePoint sent;
        std::optional<Common::TimePoint> lastEvent;
        bool hasLongPause { false };
        bool isCounted { false };
    };

    uint64_t sumOfPrefixTokens() const
    {
        return std::accumulate(m_engines.begin(), m_engines.end(), uint64_t(0),
            [](uint64_t sum, const auto& engine) { return sum + engine.prefixTokens(); });
    }

    void exchangeLoads()
    {
        m_peersAndOwn.assign(m_engines.size(), {});
        for (auto& router : m_routers) {
            router.ownAtExchange = router.own;
            for (size_t index = 0; index < m_engines.size(); ++index)
                m_peersAndOwn[index].add(router.own[index]);
        }
    }

    std::vector<EngineState> statesFor(const Router& router) const
    {
        std::vector<EngineState> states;
        for (size_t index = 0; index < m_engines.size(); ++index) {
            auto load = m_peersAndOwn[index];
            load.add(router.ownAtExchange[index], -1);
            load.add(router.own[index]);
            double slowdown = m_known.paces ? m_slowdowns[index] : 1;
            states.push_back({ m_ids[index], load.running, load.decodeHeavy, load.prefillTokens,
                { slowdown * s_stepMs * s_tokensPerEvent, slowdown / s_prefillTokensPerMs }, false });
            states.back().slowdown = slowdown;
        }
        return states;
    }

    EngineCapabilities capabilities() const
    {
        EngineCapabilities result { s_batch, false };
        auto shortest = std::min_element(
            m_loads.begin(), m_loads.end(), [](const auto& a, const auto& b) { return a.maxPause < b.maxPause; });
        if (m_known.maxPauses)
            result.shortestMaxPause = shortest->maxPause;
        if (m_known.maxPauses || m_known.paces)
            result.pace = { 1 / s_prefillTokensPerMs, s_stepMs };
        return result;
    }

    void sendAll()
    {
        for (size_t classIndex = 0; classIndex < m_loads.size(); ++classIndex) {
            if (std::bernoulli_distribution(m_loads[classIndex].perSecond / 1000)(m_random))
                send(classIndex);
        }
    }

    void send(size_t classIndex)
    {
        const auto& load = m_loads[classIndex];
        uint64_t prefix = 1000 * (classIndex + 1) + m_random() % load.prefixes;
        // Callers allow four times as many tokens as the response has.
        auto outputTokens = load.events * s_tokensPerEvent;
        Prompt prompt { load.sharedTokens + load.ownTokens, 4 * outputTokens,
            { { prefix, load.sharedTokens }, { 1'000'000 + m_sent, load.ownTokens } }, outputTokens };
        Call call { classIndex, m_random() % m_routers.size(), 0, {}, m_now, {}, false, m_isCounted };
        auto& router = m_routers[call.router];
        auto result = *router.placement.place(prompt, statesFor(router), capabilities(), m_now + load.objective, m_now);
        bool isLate = result.punctuality == Punctuality::Late;
        call.engine = result.index;
        call.load = { 1, result.isDecodeHeavy ? 1.0 : 0.0, isLate ? 0 : static_cast<double>(result.prefillTokens) };
        router.own[call.engine].add(call.load);
        auto level = m_urgency.level(m_urgency.rank(1, load.priority), result.punctuality, 10);
        m_engines[call.engine].submit({ m_sent, prompt, outputTokens, level }, m_now);
        m_outcomes[classIndex].sent += m_isCounted;
        m_placed[call.engine] += m_isCounted;
        m_calls.emplace(m_sent++, call);
    }

    void advance()
    {
        bool hasMiss = false;
        for (size_t index = 0; index < m_engines.size(); ++index) {
            for (const auto& event : m_engines[index].runUntil(m_now))
                handleEvent(event);
        }
        for (const auto& [number, call] : m_calls)
            hasMiss |= !call.lastEvent && m_now == call.sent + m_loads[call.classIndex].objective;
        checkIdleEngines(hasMiss);
    }

    void checkIdleEngines(bool hasMiss)
    {
        m_busyAt.resize(m_engines.size(), m_now);
        for (size_t index = 0; index < m_engines.size(); ++index) {
            if (!m_engines[index].isIdle())
                m_busyAt[index] = m_now;
            m_wasIdleDuringMisses |= m_isCounted && hasMiss && m_now - m_busyAt[index] >= 1s;
        }
    }

    void handleEvent(const SimulatedEngine::Event& event)
    {
        auto& call = m_calls.at(event.generation);
        const auto& load = m_loads[call.classIndex];
        auto& own = m_routers[call.router].own[call.engine];
        auto& outcome = m_outcomes[call.classIndex];
        if (!call.lastEvent) {
            outcome.inTime += call.isCounted && event.at <= call.sent + load.objective;
            own.prefillTokens -= std::exchange(call.load.prefillTokens, 0);
        } else if (!call.hasLongPause && event.at - *call.lastEvent > load.maxPause) {
            call.hasLongPause = true;
            outcome.withLongPause += call.isCounted;
        }
        call.lastEvent = event.at;
        if (event.isLast) {
            own.add(call.load, -1);
            m_calls.erase(event.generation);
        }
    }

    const Common::TimePoint m_begin { 1h };
    std::vector<ClassLoad> m_loads;
    std::vector<double> m_slowdowns;
    KnownFacts m_known;
    std::vector<std::string> m_ids;
    std::vector<SimulatedEngine> m_engines;
    std::vector<Router> m_routers;
    std::vector<Load> m_peersAndOwn; // Of all routers at the last exchange, by engine.
    std::map<uint64_t, Call> m_calls; // In progress, by number.
    std::vector<ClassOutcome> m_outcomes;
    std::vector<unsigned> m_placed;
    UrgencyScale m_urgency;
    std::mt19937_64 m_random;
    Common::TimePoint m_now { m_begin };
    std::vector<Common::TimePoint> m_busyAt;
    uint64_t m_sent { 0 };
    uint64_t m_prefixTokensBefore { 0 };
    uint64_t m_prefixTokens { 0 };
    bool m_isCounted { false };
    bool m_wasIdleDuringMisses { false };
};

// Indices into the loads of clinic().
constexpr size_t records = 0;
constexpr size_t questions = 1;
constexpr size_t tags = 2;

// Full records, short questions whose callers accept pauses of 200 ms, and tags. `scale` is relative to 112 engines.
std::vector<ClassLoad> clinic(double scale)
{
    return { { 2, 123 * scale, 5382, 40, 6610, 48, 2000ms, 800ms }, { 0, 101 * scale, 198, 20, 628, 36, 500ms, 200ms },
        { 1, 184 * scale, 568, 60, 1800, 3, 1200ms, 300ms } };
}

// A third of the engines are 2.4 times as fast as the others. The average is 1.
std::vector<double> thirdIsFast(size_t engines)
{
    std::vector<double> slowdowns;
    for (size_t index = 0; index < engines; ++index)
        slowdowns.push_back(index % 3 ? 1.27 : 0.53);
    return slowdowns;
}

} // namespace

// Guards against full records that run among questions: their prefill lengthens the pauses of the questions beyond the
// bound, and their shared prefixes are prefilled at engines that do not keep them.
TEST(UnevenLoadTest, FullRecordsDoNotViolateThePauseBoundOfQuestions)
{
    for (double scale : { 0.25, 0.32 }) {
        auto play = [&](KnownFacts known) {
            FleetSimulation fleet(clinic(scale), thirdIsFast(28), 21, known);
            fleet.run(3s, 10s);
            return fleet;
        };
        auto without = play({ false, false });
        auto with = play({});
        EXPECT_GT(without.outcomes()[questions].longPauseShare(), 0.2) << scale;
        EXPECT_LT(with.outcomes()[questions].longPauseShare(), 0.05) << scale;
        EXPECT_LT(with.outcomes()[records].longPauseShare(), 0.02) << scale;
        EXPECT_LT(with.outcomes()[tags].longPauseShare(), 0.04) << scale;
        for (const auto& outcome : with.outcomes())
            EXPECT_GT(outcome.inTimeShare(), 0.97) << scale;
        EXPECT_LT(with.prefixTokens() * 3, without.prefixTokens()) << scale;
    }
}

// Guards against slow engines that get as many generations as fast ones, and against routers that all choose the same
// fast engines, because each of them sees few requests.
TEST(UnevenLoadTest, ManyRoutersShareTheLoadByTheSpeedOfTheEngines)
{
    static constexpr std::array s_groups { 0.6, 0.93, 1.44 };
    std::vector<double> slowdowns;
    for (size_t index = 0; index < 24; ++index)
        slowdowns.push_back(s_groups[index % s_groups.size()]);
    // 85 requests per second of 85 routers.
    FleetSimulation fleet(clinic(85.0 / 408), slowdowns, 85);
    fleet.run(3s, 10s);
    std::array<double, s_groups.size()> placed {};
    for (size_t index = 0; index < slowdowns.size(); ++index)
        placed[index % placed.size()] += fleet.placed()[index];
    EXPECT_GT(placed[0], 1.3 * placed[2]);
    EXPECT_GT(placed[1], placed[2]);
    EXPECT_GT(placed[2], 0.1 * (placed[0] + placed[1] + placed[2])) << "slow engines serve as well";
    for (const auto& outcome : fleet.outcomes()) {
        EXPECT_LT(outcome.longPauseShare(), 0.05);
        EXPECT_GT(outcome.inTimeShare(), 0.97);
    }
}

// Guards against a division of the engines that leaves one of them unused while callers wait for another.
TEST(UnevenLoadTest, NoEngineIsIdleWhileAnotherMissesObjectives)
{
    for (uint64_t seed = 0; seed < 16; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<double> slowdowns(6 + random() % 16);
        for (auto& slowdown : slowdowns)
            slowdown = std::uniform_real_distribution<double>(0.6, 1.44)(random);
        // From about half to twice the load per engine of clinic().
        auto scale
            = std::uniform_real_distribution<double>(0.5, 2)(random) * static_cast<double>(slowdowns.size()) / 100;
        FleetSimulation fleet(clinic(scale), slowdowns, 1 + random() % 40, {}, seed);
        fleet.run(2s, 4s);
        EXPECT_FALSE(fleet.wasIdleDuringMisses()) << seed << " " << scale << " " << slowdowns.size();
    }
}

// Guards against an order of arrival that decides against the more urgent class.
TEST(UnevenLoadTest, TheMoreUrgentClassIsServedAtLeastAsWellWhicheverArrivesFirst)
{
    for (uint64_t seed = 0; seed < 8; ++seed) {
        for (size_t urgent : { 0, 1 }) {
            std::mt19937_64 random(seed);
            ClassLoad load { 1, 30 + static_cast<double>(random() % 60), 568, 20,
                static_cast<uint32_t>(1800 + random() % 6000), static_cast<uint32_t>(2 + random() % 30), 600ms, 300ms };
            std::vector<ClassLoad> loads { load, load };
            loads[urgent].priority = 0;
            FleetSimulation fleet(loads, thirdIsFast(4 + random() % 8), 1 + random() % 20, {}, seed);
            fleet.run(2s, 4s);
            const auto& more = fleet.outcomes()[urgent];
            const auto& less = fleet.outcomes()[1 - urgent];
            EXPECT_GE(more.inTimeShare(), less.inTimeShare() - 0.03) << seed << " " << urgent;
        }
    }
}

} // namespace Brassladder::RouteServing::Routing
