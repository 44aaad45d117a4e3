// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/OverloadPolicy.h"

#include <gtest/gtest.h>
#include <random>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::Milliseconds;

namespace {

constexpr Common::TimePoint begin { 1h };
constexpr uint32_t service = 7;
constexpr OverloadDecision refusedForBacklog { OverloadOutcome::Refuse, OverloadReason::Backlog };

OverloadRequest requestOf(size_t rank = 1) { return { rank, begin, begin + 10s, 800ms, 10s, 1s, {} }; }

// The view of a rank that a long backlog is before.
OverloadView fullView(Milliseconds expectedStart)
{
    OverloadView view;
    view.isKnown = true;
    view.othersWait = true;
    view.expectedStart = expectedStart;
    return view;
}

OverloadView rejectingView(Milliseconds expectedStart)
{
    auto view = fullView(expectedStart);
    view.areEnginesFull = true;
    view.hasRecentRejection = true;
    return view;
}

} // namespace

TEST(OverloadPolicyTest, NothingIsRefusedWhileTooLittleIsKnown)
{
    auto view = fullView(1h);
    view.isKnown = false;
    EXPECT_EQ(decide(requestOf(), view, {}, begin),
        (OverloadDecision { OverloadOutcome::Begin, OverloadReason::LoadUnknown }));
    EXPECT_FALSE(isEnoughKnown(0));
    EXPECT_FALSE(isEnoughKnown(0.24));
    EXPECT_TRUE(isEnoughKnown(0.25));
}

// A late response is worth more than a refusal, as long as it ends before the deadline.
TEST(OverloadPolicyTest, ARequestIsRefusedOnlyIfItsStartLeavesNoTimeToEnd)
{
    EXPECT_EQ(decide(requestOf(), fullView(9s), {}, begin).outcome, OverloadOutcome::Begin);
    EXPECT_EQ(decide(requestOf(), fullView(9600ms), {}, begin), refusedForBacklog);
}

TEST(OverloadPolicyTest, ARefusalComesWithinAQuarterOfTheObjectiveOrNotAtAll)
{
    EXPECT_EQ(decide(requestOf(), fullView(1h), {}, begin + 200ms), refusedForBacklog);
    EXPECT_EQ(decide(requestOf(), fullView(1h), {}, begin + 201ms).outcome, OverloadOutcome::Begin);
    auto hopeless = requestOf();
    hopeless.shortestRun = 20s;
    EXPECT_EQ(decide(hopeless, fullView(1h), {}, begin + 201ms).outcome, OverloadOutcome::Begin);
    EXPECT_EQ(
        decide(requestOf(), rejectingView(1h), { true, true, false }, begin + 201ms).outcome, OverloadOutcome::Begin);
}

TEST(OverloadPolicyTest, WhatCannotEndIsRefusedAtOnceWhileOthersWait)
{
    auto hopeless = requestOf();
    hopeless.shortestRun = 11s;
    auto view = fullView(600ms);
    EXPECT_EQ(
        decide(hopeless, view, {}, begin), (OverloadDecision { OverloadOutcome::Refuse, OverloadReason::CannotEnd }));
    view.othersWait = false;
    view.hasRoom = true;
    EXPECT_EQ(decide(hopeless, view, {}, begin).outcome, OverloadOutcome::Begin);
}

// A second refusal is the worst outcome for a caller.
TEST(OverloadPolicyTest, ACallerThatHasProbablyReturnedIsNotRefusedAgain)
{
    auto returned = requestOf();
    returned.deadline = begin + 6s;
    EXPECT_EQ(
        decide(returned, fullView(1h), {}, begin), (OverloadDecision { OverloadOutcome::Begin, OverloadReason::Late }));
}

// Otherwise less urgent callers that return would take the place of urgent ones.
TEST(OverloadPolicyTest, AReturnedCallerIsRefusedWhileEnginesRejectMoreUrgentOnes)
{
    auto returned = requestOf();
    returned.deadline = begin + 6s;
    auto view = rejectingView(2s);
    EXPECT_EQ(decide(returned, view, {}, begin).outcome, OverloadOutcome::Begin);
    view.hasMoreUrgentRejection = true;
    EXPECT_EQ(
        decide(returned, view, {}, begin), (OverloadDecision { OverloadOutcome::Refuse, OverloadReason::EnginesFull }));
}

TEST(OverloadPolicyTest, ARequestIsHeldBrieflyWhileEnginesWouldRejectIt)
{
    auto view = rejectingView(2s);
    EXPECT_EQ(decide(requestOf(), view, { true, false, false }, begin).outcome, OverloadOutcome::Hold);
    EXPECT_EQ(decide(requestOf(), view, { true, false, false }, begin + 180ms).outcome, OverloadOutcome::Hold);
    EXPECT_EQ(decide(requestOf(), view, { true, false, false }, begin + 181ms),
        (OverloadDecision { OverloadOutcome::Refuse, OverloadReason::EnginesFull }));
    EXPECT_EQ(decide(requestOf(), view, { false, false, false }, begin).outcome, OverloadOutcome::Refuse)
        << "too many are held";
    view.hasRecentRejection = false;
    EXPECT_EQ(decide(requestOf(), view, { true, false, false }, begin + 181ms).outcome, OverloadOutcome::Begin)
        << "the length of the engines' queues is only assumed";
}

TEST(OverloadPolicyTest, ARequestDoesNotOvertakeHeldOnesThatGoBeforeIt)
{
    auto view = fullView(2s);
    EXPECT_EQ(decide(requestOf(), view, { true, true, false }, begin),
        (OverloadDecision { OverloadOutcome::Hold, OverloadReason::Behind }));
    EXPECT_EQ(decide(requestOf(), view, { true, false, false }, begin).outcome, OverloadOutcome::Begin);
    view.hasRoom = true;
    EXPECT_EQ(decide(requestOf(), view, { true, true, false }, begin).outcome, OverloadOutcome::Begin);
}

// While there is room, a workspace may use what others leave.
TEST(OverloadPolicyTest, AWorkspaceOverItsShareIsRefusedFirst)
{
    auto request = requestOf();
    request.isOverShare = [] { return true; };
    EXPECT_EQ(decide(request, fullView(2s), {}, begin),
        (OverloadDecision { OverloadOutcome::Refuse, OverloadReason::OverShare }));
    EXPECT_EQ(decide(request, fullView(400ms), {}, begin).outcome, OverloadOutcome::Begin);
    auto view = fullView(2s);
    view.hasRoom = true;
    EXPECT_EQ(decide(request, view, {}, begin).outcome, OverloadOutcome::Begin);
}

// Without a guaranteed share, a long burst of urgent generations would refuse all others.
TEST(OverloadPolicyTest, ARefusedRankKeepsATwentiethOfWhatBegins)
{
    BeginShares shares;
    const QueueKey urgent { service, 0 };
    const QueueKey refused { service, 2 };
    unsigned begun = 0;
    for (unsigned round = 0; round < 1000; ++round) {
        auto now = begin + round * 10ms;
        shares.recordBegin(urgent, now);
        auto request = requestOf(refused.rank);
        request.arrived = now;
        request.deadline = now + 10s;
        auto decision = decide(request, fullView(1h), { false, false, shares.isStarved(refused, now) }, now);
        if (decision.outcome == OverloadOutcome::Refuse)
            continue;
        EXPECT_EQ(decision.reason, OverloadReason::GuaranteedShare);
        shares.recordBegin(refused, now);
        ++begun;
    }
    EXPECT_GE(begun, 50u);
    EXPECT_LE(begun, 60u);
    EXPECT_FALSE(shares.isStarved({ service + 1, 2 }, begin)) << "another service";
}

TEST(HeldRequestsTest, UrgentThenPunctualThenEarlierRequestsGoFirst)
{
    HeldRequests held(10);
    HeldRequests::Request late { 1, { service, 1 }, false, begin };
    HeldRequests::Request punctual { 2, { service, 1 }, true, begin + 1s };
    HeldRequests::Request urgent { 3, { service, 0 }, false, begin + 2s };
    HeldRequests::Request other { 4, { service + 1, 0 }, true, begin };
    for (const auto& each : { late, punctual, urgent, other })
        held.add(each);
    EXPECT_TRUE(held.isBehind(late));
    EXPECT_TRUE(held.isBehind(punctual));
    EXPECT_FALSE(held.isBehind(urgent));
    EXPECT_FALSE(held.isBehind(other)) << "another service";
    EXPECT_EQ(held.oldestArrival(begin + 9s), begin);
    held.remove(urgent.number);
    EXPECT_FALSE(held.isBehind(punctual));
    EXPECT_TRUE(held.isBehind(late));
}

TEST(HeldRequestsTest, TheNumberIsBoundedAndTheLastOneGivesWay)
{
    HeldRequests held(2);
    held.add({ 1, { service, 1 }, true, begin });
    held.add({ 2, { service, 1 }, true, begin + 1s });
    HeldRequests::Request later { 3, { service, 1 }, true, begin + 2s };
    HeldRequests::Request urgent { 4, { service, 0 }, true, begin + 3s };
    EXPECT_FALSE(held.hasPlaceFor(later));
    EXPECT_TRUE(held.hasPlaceFor(urgent));
    held.add(urgent);
    EXPECT_EQ(held.size(), 2u);
    EXPECT_FALSE(held.contains(2));
    EXPECT_FALSE(HeldRequests(0).hasPlaceFor(urgent)) << "holding is switched off";
}

namespace {

// The outstanding generations of a fleet, changing at random. The whole fleet never ends more work in a step than its
// engines can.
class FleetHistory {
public:
    static constexpr Milliseconds step { 100ms };
    static constexpr size_t ranks = 3;

    explicit FleetHistory(unsigned seed)
        : m_random(seed)
        , m_routers(30 + m_random() % 271)
        , m_pool { 60, 12, 0, 0.012, 3 }
    {
        for (unsigned index = 0; index < 10; ++index)
            advance();
    }

    void advance()
    {
        // Generations of 250 output tokens take 750 ms, so 100 ms end at most 0.14 of a full fleet.
        if (m_random() % 20 == 0)
            m_target = std::uniform_real_distribution<double>(0, 4)(m_random);
        m_level = std::clamp(m_target, m_level - 0.12, m_level + 0.4);
        std::vector<LoadsByQueue> tables(m_routers);
        for (auto& table : tables) {
            for (uint32_t rank = 0; rank < ranks; ++rank)
                table[{ service, rank }] = randomLoad();
        }
        m_states.push_back(std::move(tables));
    }

    // Sums the tables of the share of the routers, `age` steps ago.
    LoadsByQueue loads(double share, size_t age) const
    {
        LoadsByQueue sum;
        const auto& tables = m_states[m_states.size() - 1 - age];
        auto count = static_cast<size_t>(share * static_cast<double>(m_routers));
        for (size_t index = 0; index < count; ++index)
            addLoads(sum, tables[index]);
        return sum;
    }
    double exactShare(double share) const
    {
        return std::floor(share * static_cast<double>(m_routers)) / static_cast<double>(m_routers);
    }

    OverloadRequest randomRequest(size_t rank, Common::TimePoint now)
    {
        auto timeout = Milliseconds(1000 + m_random() % 11'000);
        auto left = m_random() % 4 ? timeout : timeout / 2;
        return { rank, now, now + left, Milliseconds(300 + m_random() % 1700), timeout, Milliseconds(m_random() % 1500),
            {} };
    }
    const EnginePool& pool() const { return m_pool; }
    auto& random() { return m_random; }

private:
    QueueLoad randomLoad()
    {
        auto mean = m_level * m_pool.capacity(0) / static_cast<double>(m_routers * ranks);
        auto running = std::poisson_distribution<uint64_t>(std::max(0.001, std::min(mean, 1.0 * mean)))(m_random);
        auto waiting = running / 3;
        running -= waiting;
        return { waiting, waiting * 2000, running, waiting * 250 + running * 125, 0 };
    }

    std::mt19937_64 m_random;
    size_t m_routers;
    EnginePool m_pool;
    double m_target { 1 };
    double m_level { 0 };
    std::vector<std::vector<LoadsByQueue>> m_states;
};

struct Sight {
    double share { 1 };
    size_t age { 0 }; // In steps.
};

constexpr Sight exact { 1, 0 };
constexpr Sight impaired { 2.0 / 3, 5 };

} // namespace

class OverloadHistoryTest : public testing::TestWithParam<Sight> { };

// Refusals without need are the main risk of the policy.
TEST_P(OverloadHistoryTest, NothingIsRefusedOrHeldWhileEnginesHaveRoom)
{
    auto sight = GetParam();
    unsigned withRoom = 0;
    unsigned refused = 0;
    for (unsigned seed = 1; seed <= 12; ++seed) {
        FleetHistory history(seed);
        for (unsigned step = 0; step < 150; ++step) {
            history.advance();
            auto now = begin + step * FleetHistory::step;
            auto truth = wholeBacklogOf(history.loads(1, 0), service, 1);
            bool hasRoom = truth.total() < history.pool().capacity(0);
            for (size_t rank = 0; rank < FleetHistory::ranks; ++rank) {
                auto view = overloadView(history.pool(), history.loads(sight.share, sight.age), service, rank,
                    history.exactShare(sight.share), 0, history.random()() % 4);
                auto request = history.randomRequest(rank, now);
                auto decision = decide(request, view, { true, history.random()() % 2 == 0, false }, now);
                refused += decision.outcome == OverloadOutcome::Refuse;
                if (!hasRoom)
                    continue;
                ++withRoom;
                EXPECT_EQ(decision.outcome, OverloadOutcome::Begin)
                    << "seed " << seed << " step " << step << " rank " << rank << " " << name(decision.reason);
            }
        }
    }
    EXPECT_GT(withRoom, 500u) << "the histories cover the case";
    EXPECT_GT(refused, 50u) << "the histories cover overload";
}

// The same request is never refused or held at a rank while it would begin at a less urgent one.
TEST_P(OverloadHistoryTest, AMoreUrgentRankIsNeverWorseOff)
{
    auto sight = GetParam();
    for (unsigned seed = 1; seed <= 12; ++seed) {
        FleetHistory history(seed);
        for (unsigned step = 0; step < 150; ++step) {
            history.advance();
            auto now = begin + step * FleetHistory::step;
            auto loads = history.loads(sight.share, sight.age);
            auto request = history.randomRequest(0, now);
            auto rejectedRank = history.random()() % 4;
            auto later = now + Milliseconds(history.random()() % 600);
            auto worst = OverloadOutcome::Begin;
            for (size_t rank = 0; rank < FleetHistory::ranks; ++rank) {
                request.rank = rank;
                auto view = overloadView(
                    history.pool(), loads, service, rank, history.exactShare(sight.share), 0, rejectedRank);
                auto decision = decide(request, view, { true, false, false }, later);
                if (worst != OverloadOutcome::Begin) {
                    EXPECT_NE(decision.outcome, OverloadOutcome::Begin)
                        << "seed " << seed << " step " << step << " rank " << rank << " " << name(decision.reason);
                }
                worst = std::max(worst, decision.outcome);
                bool isRefused = decision.outcome == OverloadOutcome::Refuse;
                EXPECT_TRUE(!isRefused || later <= refusableUntil(request));
                bool hasTime = view.expectedStart + request.shortestRun <= request.deadline - later;
                if (hasTime && isRefused) {
                    EXPECT_EQ(decision.reason, OverloadReason::EnginesFull) << "late service goes before a refusal";
                }
            }
        }
    }
}

TEST_P(OverloadHistoryTest, NothingIsRefusedWhileLessThanAQuarterOfTheFleetIsKnown)
{
    for (unsigned seed = 1; seed <= 12; ++seed) {
        FleetHistory history(seed);
        for (unsigned step = 0; step < 50; ++step) {
            history.advance();
            for (double share : { 0.0, 0.1, 0.24 }) {
                auto view = overloadView(
                    history.pool(), history.loads(share, GetParam().age), service, 2, history.exactShare(share), 0, 0);
                auto decision = decide(history.randomRequest(2, begin), view, { true, true, false }, begin);
                EXPECT_EQ(decision.outcome, OverloadOutcome::Begin);
            }
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Sight, OverloadHistoryTest, testing::Values(exact, impaired),
    [](const auto& info) { return info.param.age ? std::string("Impaired") : std::string("Exact"); });

} // namespace Brassladder::RouteServing::Routing
