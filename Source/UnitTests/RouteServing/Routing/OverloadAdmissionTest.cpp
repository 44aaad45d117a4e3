// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/OverloadPolicy.h"
#include "RouteServing/Routing/RetryPolicy.h"
#include "RouteServing/Routing/ReturnTime.h"
#include "RouteServing/Routing/UpstreamRegistry.h"
#include "RouteServing/Routing/Urgency.h"
#include "Testing/Fakes/SimulatedEngine.h"

#include <array>
#include <gtest/gtest.h>
#include <random>

// Plays bursts of three classes on virtual time, with and without the admission rules, and checks what callers get.
namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::Milliseconds;
using Testing::Fakes::SimulatedEngine;

namespace {

constexpr uint32_t service = 1;
constexpr unsigned slots = 12;
constexpr unsigned tokensPerEvent = 8;
// Generations that a simulated engine queues before it rejects.
constexpr unsigned engineQueue = 12;
// Engines that a router sends one request to, at most.
constexpr size_t maxAttempts = 3;

// The load of one class.
struct ClassLoad {
    unsigned priority { 0 };
    double perSecond { 0 };
    uint32_t sharedTokens { 0 };
    unsigned prefixes { 1 };
    uint32_t ownTokens { 0 };
    uint32_t outputTokens { 0 };
    Milliseconds objective { 600 };
    Milliseconds deadline { 2400 };
};

// What the callers of one class get.
struct ClassOutcome {
    unsigned sent { 0 };
    unsigned inTime { 0 };
    unsigned late { 0 };
    unsigned servedAfterRefusal { 0 }; // Also counted as in time or late, measured from the first arrival.
    unsigned refusedByPolicy { 0 }; // And not by an engine; once or twice.
    unsigned refusedForGood { 0 }; // Refused again after they had returned.
    unsigned failed { 0 }; // Ran until the deadline, or lost with their engine.
    unsigned returned { 0 };

    double inTimeShare() const { return static_cast<double>(inTime) / sent; }
    double servedShare() const { return static_cast<double>(inTime + late) / sent; }
};

std::ostream& operator<<(std::ostream& out, const ClassOutcome& outcome)
{
    return out << "sent " << outcome.sent << " in_time " << outcome.inTime << " late " << outcome.late
               << " served_after_refusal " << outcome.servedAfterRefusal << " refused_by_policy "
               << outcome.refusedByPolicy << " returned " << outcome.returned << " refused_again "
               << outcome.refusedForGood << " failed " << outcome.failed;
}

// A burst of one class.
struct Burst {
    size_t classIndex { 0 };
    Milliseconds from { 0 };
    Milliseconds until { 0 };
    double factor { 1 };
};

struct Scenario {
    std::vector<ClassLoad> classes;
    std::vector<Burst> bursts;
    Milliseconds length { 20s };
    size_t engines { 28 };
    bool hasUnevenEngines { true };
    std::optional<Milliseconds> crash; // A fifth of the engines end at this time.
    bool limitsOverload { true };
    unsigned seed { 7 };
};

class AdmissionSimulation {
public:
    explicit AdmissionSimulation(Scenario scenario)
        : m_scenario(std::move(scenario))
        , m_random(m_scenario.seed)
        , m_outcomes(m_scenario.classes.size())
    {
        for (size_t index = 0; index < m_scenario.engines; ++index)
            m_records.push_back({ "e" + std::to_string(index), "model", { "127.0.0.1", 1 }, "north", slots, false });
        for (size_t index = 0; index < m_records.size(); ++index)
            m_engines.try_emplace(m_records[index].id, traitsOf(index));
        m_registry.setUpstreams(m_records);
        m_urgency.addWorkspace(1);
        for (const auto& each : m_scenario.classes)
            m_urgency.addRoute(each.priority);
    }

    std::vector<ClassOutcome> run()
    {
        for (; m_now < m_begin + m_scenario.length; m_now += 1ms) {
            for (size_t index = 0; index < m_scenario.classes.size(); ++index)
                arrive(index);
            advance();
        }
        for (auto end = m_now + 15s; m_now < end; m_now += 1ms)
            advance();
        return m_outcomes;
    }

private:
    static constexpr Milliseconds viewAge { 300 };

    struct Call {
        size_t classIndex { 0 };
        Prompt prompt;
        Common::TimePoint firstArrival;
        Common::TimePoint arrival; // Later than the first one if the caller has returned.
        bool hasReturned { false };
        bool hasEvent { false };
        Common::TimePoint firstEvent;
        bool isInTime { false };
        UpstreamRegistry::Placement placement;
        FleetQueues::Number outstanding { 0 };
        std::vector<std::string> attempted; // Engines that rejected it.
    };

    // A third of the engines are 2.4 times as fast as the others.
    SimulatedEngine::Traits traitsOf(size_t index) const
    {
        double speed = 1;
        if (m_scenario.hasUnevenEngines)
            speed = index % 3 == 0 ? 1.64 : 0.68;
        SimulatedEngine::Traits traits;
        traits.batch = slots;
        traits.stepMs = 3.9 / speed;
        traits.stepMsPerRunning = 0;
        traits.prefillTokensPerMs = 66 * speed;
        traits.tokensPerEvent = tokensPerEvent;
        return traits;
    }

    const ClassLoad& load(const Call& call) const { return m_scenario.classes[call.classIndex]; }
    size_t rank(const Call& call) const { return m_urgency.rank(1, load(call).priority); }
    Common::TimePoint deadline(const Call& call) const { return call.firstArrival + load(call).deadline; }

    void arrive(size_t classIndex)
    {
        const auto& load = m_scenario.classes[classIndex];
        auto factor = 1.0;
        for (const auto& burst : m_scenario.bursts) {
            bool isOn = m_now >= m_begin + burst.from && m_now < m_begin + burst.until;
            factor *= isOn && burst.classIndex == classIndex ? burst.factor : 1;
        }
        auto count = std::poisson_distribution<unsigned>(load.perSecond * factor / 1000)(m_random);
        for (unsigned index = 0; index < count; ++index) {
            Call call { classIndex, {}, m_now, m_now };
            uint64_t prefix = 1000 * (classIndex + 1) + m_random() % load.prefixes;
            call.prompt = { load.sharedTokens + load.ownTokens, 2 * load.outputTokens,
                { { prefix, load.sharedTokens }, { 1'000'000 + m_nextCall, load.ownTokens } } };
            ++m_outcomes[classIndex].sent;
            handle(m_nextCall++, std::move(call));
        }
    }

    EnginePool pool() const
    {
        EngineTraits traits;
        traits.batch = slots;
        traits.tokensPerEvent = tokensPerEvent;
        return EnginePool::of(static_cast<unsigned>(m_records.size()), traits, std::nullopt,
            m_registry.firstEventEstimate("model", m_now), m_decodeTimes.millisecondsPerToken("model"));
    }

    // The routers' views are some exchanges old.
    void updateView()
    {
        m_views.emplace_back(m_now, m_queues.own(m_now));
        std::erase_if(m_views, [this](const auto& each) { return each.first < m_now - viewAge - 100ms; });
    }

    OverloadView view(const Call& call) const
    {
        static const LoadsByQueue none;
        const auto& loads = m_views.empty() ? none : m_views.front().second;
        return overloadView(pool(), loads, service, rank(call), 1, call.prompt.tokens,
            m_now - m_lastRejection < 500ms ? std::make_optional(m_lastRejectedRank) : std::nullopt);
    }

    OverloadDecision decideFor(uint64_t number, const Call& call, bool isHeld)
    {
        auto engines = pool();
        QueueKey key { service, static_cast<uint32_t>(rank(call)) };
        HeldRequests::Request held { number, key, true, call.arrival };
        OverloadRequest request { rank(call), call.arrival, deadline(call), load(call).objective, load(call).deadline,
            engines.prefillTime(load(call).ownTokens) + engines.decodeTime(load(call).outputTokens / 2.0), {} };
        bool mayHold = isHeld ? m_held.contains(number) : m_held.hasPlaceFor(held);
        auto decision
            = decide(request, view(call), { mayHold, m_held.isBehind(held), m_shares.isStarved(key, m_now) }, m_now);
        if (decision.outcome == OverloadOutcome::Hold)
            m_held.add(held);
        else
            m_held.remove(number);
        if (decision.outcome == OverloadOutcome::Begin)
            m_shares.recordBegin(key, m_now);
        return decision;
    }

    void handle(uint64_t number, Call call, bool isHeld = false)
    {
        OverloadDecision decision;
        if (m_scenario.limitsOverload)
            decision = decideFor(number, call, isHeld);
        switch (decision.outcome) {
        case OverloadOutcome::Begin:
            return send(number, std::move(call));
        case OverloadOutcome::Hold:
            m_waiting.emplace(m_now + holdInterval, std::pair(number, std::move(call)));
            return;
        case OverloadOutcome::Refuse:
            EXPECT_LE(m_now, call.arrival + load(call).objective / 4);
            ++m_outcomes[call.classIndex].refusedByPolicy;
            return refuse(number, std::move(call), 1000ms);
        }
    }

    void refuse(uint64_t number, Call call, Milliseconds constant)
    {
        auto left = Common::toMilliseconds(deadline(call) - m_now);
        auto delay = constant;
        if (m_scenario.limitsOverload) {
            auto current = view(call);
            if (current.isKnown && !current.hasRoom)
                delay = returnTime({ rank(call), left, current.expectedStart, constant },
                    std::uniform_real_distribution<double>(0, 1)(m_random));
        }
        auto& outcome = m_outcomes[call.classIndex];
        if (call.hasReturned) {
            ++outcome.refusedForGood;
            return;
        }
        // A caller ignores a delay that is too long and returns at the latest time that it accepts.
        call.hasReturned = true;
        ++outcome.returned;
        auto arrival = m_now + std::min(delay, left / 3);
        call.arrival = arrival;
        m_returns.emplace(arrival, std::pair(number, std::move(call)));
    }

    void send(uint64_t number, Call call)
    {
        UpstreamRegistry::PlacementRequest request;
        request.service = "model";
        request.prompt = &call.prompt;
        request.engine = { slots, false };
        request.due = call.arrival + load(call).objective;
        request.attempted = call.attempted;
        call.placement = *m_registry.choose(request, m_now);
        auto id = call.placement.upstream.id;
        if (m_outstanding[id] >= slots + engineQueue) {
            call.attempted.push_back(id);
            if (call.attempted.size() < maxAttempts)
                return send(number, std::move(call));
            if (m_now - m_lastRejection >= 500ms || rank(call) <= m_lastRejectedRank)
                m_lastRejectedRank = rank(call);
            m_lastRejection = m_now;
            call.attempted.clear();
            return refuse(number, std::move(call), retryAfterRefusal(true));
        }
        m_registry.recordStart(call.placement);
        call.attempted.clear();
        ++m_outstanding[id];
        auto engines = pool();
        call.outstanding = m_queues.begin({ service, static_cast<uint32_t>(rank(call)) },
            { call.placement.prefillTokens, load(call).outputTokens, engines.decodeTime(load(call).outputTokens) },
            false, m_now);
        auto level = m_urgency.level(rank(call), call.placement.punctuality, 10);
        m_engines.at(id).submit({ number, call.prompt, load(call).outputTokens, level }, m_now);
        m_calls.emplace(number, std::move(call));
    }

    void advance()
    {
        if (m_scenario.crash && m_now == m_begin + *m_scenario.crash)
            crash();
        if ((m_now - m_begin) % 100ms == 0ms)
            updateView();
        for (auto& [id, engine] : m_engines) {
            for (const auto& event : engine.runUntil(m_now))
                handleEvent(event);
        }
        handleDue(m_returns, false);
        handleDue(m_waiting, true);
        for (auto each = m_calls.begin(); each != m_calls.end();) {
            auto current = each++;
            if (m_now >= deadline(current->second))
                fail(current->first, AttemptOutcome::CancelledAfterSending);
        }
    }

    using Scheduled = std::multimap<Common::TimePoint, std::pair<uint64_t, Call>>;
    void handleDue(Scheduled& scheduled, bool areHeld)
    {
        while (!scheduled.empty() && scheduled.begin()->first <= m_now) {
            auto [number, call] = std::move(scheduled.begin()->second);
            scheduled.erase(scheduled.begin());
            handle(number, std::move(call), areHeld);
        }
    }

    void handleEvent(const SimulatedEngine::Event& event)
    {
        auto found = m_calls.find(event.generation);
        if (found == m_calls.end())
            return;
        auto& call = found->second;
        if (!call.hasEvent) {
            call.hasEvent = true;
            call.firstEvent = event.at;
            m_registry.recordPrefillDone(call.placement, event.at);
            m_queues.recordFirstEvent(call.outstanding, event.at);
            call.isInTime = event.at <= call.firstArrival + load(call).objective;
        }
        if (!event.isLast)
            return;
        m_decodeTimes.record("model", load(call).outputTokens - tokensPerEvent,
            Common::toMilliseconds(event.at - call.firstEvent), m_now);
        auto& outcome = m_outcomes[call.classIndex];
        ++(call.isInTime ? outcome.inTime : outcome.late);
        outcome.servedAfterRefusal += call.hasReturned;
        end(event.generation, AttemptOutcome::Answered);
    }

    void fail(uint64_t number, AttemptOutcome attempt)
    {
        const auto& call = m_calls.at(number);
        ++m_outcomes[call.classIndex].failed;
        if (auto engine = m_engines.find(call.placement.upstream.id); engine != m_engines.end())
            engine->second.cancel(number);
        end(number, attempt);
    }

    void end(uint64_t number, AttemptOutcome attempt)
    {
        const auto& call = m_calls.at(number);
        m_registry.recordEnd(call.placement, call.hasEvent, attempt, m_now);
        m_queues.end(call.outstanding);
        --m_outstanding[call.placement.upstream.id];
        m_calls.erase(number);
    }

    void crash()
    {
        auto lost = m_records.size() / 5;
        for (size_t index = 0; index < lost; ++index) {
            auto id = m_records.back().id;
            m_records.pop_back();
            m_engines.erase(id);
            for (auto each = m_calls.begin(); each != m_calls.end();) {
                auto current = each++;
                if (current->second.placement.upstream.id == id)
                    fail(current->first, AttemptOutcome::Interrupted);
            }
        }
        m_registry.setUpstreams(m_records);
    }

    const Common::TimePoint m_begin { 1h };
    Scenario m_scenario;
    std::mt19937_64 m_random;
    std::vector<ClassOutcome> m_outcomes;
    UpstreamRegistry m_registry { "north" };
    UrgencyScale m_urgency;
    std::vector<UpstreamRecord> m_records;
    std::map<std::string, SimulatedEngine> m_engines;
    std::map<std::string, unsigned> m_outstanding; // By engine.
    std::map<uint64_t, Call> m_calls; // At engines, by number.
    Scheduled m_returns;
    Scheduled m_waiting; // Held.
    FleetQueues m_queues;
    DecodeTimes m_decodeTimes;
    std::vector<std::pair<Common::TimePoint, LoadsByQueue>> m_views;
    HeldRequests m_held { 1000 };
    BeginShares m_shares;
    Common::TimePoint m_lastRejection {};
    size_t m_lastRejectedRank { 0 };
    Common::TimePoint m_now { m_begin };
    uint64_t m_nextCall { 0 };
};

// Indices into the classes of busyDay().
constexpr size_t records = 0;
constexpr size_t questions = 1;
constexpr size_t tags = 2;

// A quarter of a fleet of 112 engines. Records burst for 9 s, then tags, then questions.
Scenario busyDay(double recordsFactor)
{
    Scenario scenario;
    scenario.classes = { { 2, 31, 5382, 40, 6610, 384, 2000ms, 12'000ms }, { 0, 25, 198, 8, 628, 288, 500ms, 10'000ms },
        { 1, 46, 568, 8, 1800, 24, 1200ms, 2500ms } };
    scenario.bursts = { { records, 3s, 12s, recordsFactor }, { tags, 12s, 15s, 1.5 }, { questions, 15s, 18s, 2 } };
    return scenario;
}

void add(ClassOutcome& sum, const ClassOutcome& added)
{
    sum.sent += added.sent;
    sum.inTime += added.inTime;
    sum.late += added.late;
    sum.servedAfterRefusal += added.servedAfterRefusal;
    sum.refusedByPolicy += added.refusedByPolicy;
    sum.refusedForGood += added.refusedForGood;
    sum.failed += added.failed;
    sum.returned += added.returned;
}

// Plays the scenario with several seeds, because placement chooses at random. Prints what callers get.
std::vector<ClassOutcome> play(Scenario scenario, bool limitsOverload)
{
    static constexpr unsigned seeds = 4;
    static constexpr std::array names { "records", "questions", "tags" };
    scenario.limitsOverload = limitsOverload;
    std::vector<ClassOutcome> sums(scenario.classes.size());
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        scenario.seed = seed;
        auto outcomes = AdmissionSimulation(scenario).run();
        for (size_t index = 0; index < sums.size(); ++index)
            add(sums[index], outcomes[index]);
    }
    for (size_t index = 0; index < sums.size(); ++index)
        std::cout << (limitsOverload ? "with    " : "without ") << names[index] << ": " << sums[index] << "\n";
    return sums;
}

// A second refusal is the worst outcome for a caller.
void expectFewRefusedAgain(const std::vector<ClassOutcome>& outcomes)
{
    unsigned returned = 0;
    unsigned refusedForGood = 0;
    for (const auto& outcome : outcomes) {
        returned += outcome.returned;
        refusedForGood += outcome.refusedForGood;
    }
    EXPECT_LE(refusedForGood, 0.05 * returned + 1);
}

} // namespace

// Without overload, the rules must change nothing.
TEST(OverloadAdmissionTest, NothingIsRefusedOnAQuietDay)
{
    auto scenario = busyDay(1);
    scenario.bursts.clear();
    for (const auto& outcome : play(scenario, true)) {
        EXPECT_EQ(outcome.refusedByPolicy, 0u);
        EXPECT_GT(outcome.servedShare(), 0.99);
    }
}

// A burst that the engines can serve late must not be refused, and must not harm urgent classes.
TEST(OverloadAdmissionTest, ABurstOfRecordsIsServedLate)
{
    auto without = play(busyDay(2.5), false);
    auto with = play(busyDay(2.5), true);
    expectFewRefusedAgain(with);
    EXPECT_GT(with[records].servedShare(), without[records].servedShare() - 0.02);
    EXPECT_GT(with[questions].inTimeShare(), 0.97);
    EXPECT_GT(with[tags].inTimeShare(), 0.97);
}

TEST(OverloadAdmissionTest, ABurstWhileAFifthOfTheEnginesCrash)
{
    auto scenario = busyDay(2.5);
    scenario.crash = 6s;
    auto without = play(scenario, false);
    auto with = play(scenario, true);
    expectFewRefusedAgain(with);
    EXPECT_GT(with[records].servedShare(), without[records].servedShare() - 0.04);
    EXPECT_GT(with[questions].inTimeShare(), 0.95);
    EXPECT_GT(with[tags].inTimeShare(), 0.95);
}

// The engines reject in order of arrival, so a burst of records would take the place of tags. Most of the records that
// are refused have no capacity at any later time either.
TEST(OverloadAdmissionTest, ABurstBeyondTheCapacityDoesNotDisplaceMoreUrgentClasses)
{
    auto scenario = busyDay(5);
    scenario.crash = 6s;
    auto without = play(scenario, false);
    auto with = play(scenario, true);
    EXPECT_GT(with[tags].servedShare(), without[tags].servedShare() + 0.1);
    EXPECT_GT(with[tags].inTimeShare(), 0.93);
    EXPECT_GT(with[questions].inTimeShare(), 0.93);
    EXPECT_GT(with[records].servedShare(), without[records].servedShare() - 0.02);
}

} // namespace Brassladder::RouteServing::Routing
