// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Scheduling/ShardScheduler.h"

#include <gtest/gtest.h>

namespace Brassladder::ClassServing::Scheduling {

using namespace std::chrono_literals;
using Common::ErrorKind;

namespace {

// A scheduler with simulated time.
class ShardSchedulerTest : public testing::Test {
protected:
    ShardSchedulerTest()
    {
        for (Tier tier = 0; tier < tierCount; ++tier) {
            auto& policy = m_policies[tier];
            policy.name = "tier-" + std::to_string(tier);
            policy.tier = tier;
            policy.target = 800ms;
            policy.maxWait = tier == 3 ? Duration(1h) : Duration(10s);
            policy.guaranteeAfter = 5s;
            policy.preemptible = tier > 0;
        }
    }

    void useUpstreams(uint32_t count, uint32_t slots)
    {
        std::vector<UpstreamInfo> upstreams;
        for (uint32_t index = 0; index < count; ++index)
            upstreams.push_back({ "w" + std::to_string(index), slots, false });
        m_shard.setUpstreams(upstreams);
    }

    AskId ask(Tier tier, uint64_t workspace = 1, std::string pinned = {})
    {
        Ask ask;
        ask.id = { 7, ++m_sequence };
        ask.policy = &m_policies[tier];
        ask.workspace = workspace;
        ask.arrived = m_now;
        ask.pinned = std::move(pinned);
        m_shard.ask(ask, m_now, m_decisions);
        return ask.id;
    }

    void release(AskId id, SlotOutcome outcome = SlotOutcome::Completed, Duration perToken = {})
    {
        m_shard.release({ id, outcome, 1, perToken }, m_now);
    }

    // Advances the time, then returns all decisions since the last call.
    std::vector<Decision> decide(Duration step = {})
    {
        m_now += step;
        m_shard.decide(m_now, m_decisions);
        return std::exchange(m_decisions, {});
    }

    template <typename T> static std::vector<T> ofType(const std::vector<Decision>& decisions)
    {
        std::vector<T> list;
        for (const auto& decision : decisions) {
            if (const auto* match = std::get_if<T>(&decision))
                list.push_back(*match);
        }
        return list;
    }

    std::array<ClassPolicy, tierCount> m_policies;
    ShardScheduler m_shard;
    TimePoint m_now { TimePoint(1h) };
    uint64_t m_sequence { 0 };
    std::vector<Decision> m_decisions;
};

} // namespace

TEST_F(ShardSchedulerTest, FreeSlotGoesToTheHighestTier)
{
    useUpstreams(1, 1);
    auto first = ask(3);
    EXPECT_EQ(ofType<Grant>(decide()).at(0).id, first);
    ask(3);
    ask(2);
    auto highest = ask(0);
    ask(1);
    release(first);
    EXPECT_EQ(ofType<Grant>(decide()).at(0).id, highest);
}

TEST_F(ShardSchedulerTest, LowerTiersGetNoSlotWhileAHigherTierWaits)
{
    useUpstreams(1, 2);
    for (int index = 0; index < 4; ++index)
        ask(0);
    ask(1);
    auto grants = ofType<Grant>(decide());
    ASSERT_EQ(grants.size(), 2u);
    release(grants[0].id);
    release(grants[1].id);
    auto next = ofType<Grant>(decide());
    ASSERT_EQ(next.size(), 2u);
    EXPECT_EQ(m_shard.waitingCount(0), 0u);
    EXPECT_EQ(m_shard.waitingCount(1), 1u);
}

TEST_F(ShardSchedulerTest, HigherTierPreemptsTheLowestRunningRequestAfterADelay)
{
    useUpstreams(1, 2);
    auto middle = ask(2);
    auto lowest = ask(3);
    decide();
    ask(0);
    EXPECT_TRUE(ofType<Preemption>(decide()).empty()) << "a slot may become free without preemption";
    auto preemptions = ofType<Preemption>(decide(150ms));
    ASSERT_EQ(preemptions.size(), 1u);
    EXPECT_EQ(preemptions[0].id, lowest);
    EXPECT_TRUE(ofType<Preemption>(decide(10ms)).empty()) << "one preemption per waiting request is enough";
    release(lowest, SlotOutcome::Preempted);
    EXPECT_EQ(ofType<Grant>(decide()).size(), 1u);
    (void)middle;
}

TEST_F(ShardSchedulerTest, NeverPreemptsAnEqualOrHigherTier)
{
    useUpstreams(1, 1);
    ask(1);
    decide();
    ask(1);
    ask(2);
    ask(3);
    EXPECT_TRUE(ofType<Preemption>(decide(5s)).empty());
}

TEST_F(ShardSchedulerTest, PausedRequestResumesOnItsUpstream)
{
    useUpstreams(2, 1);
    auto resumed = ask(3, 1, "w1");
    auto grants = ofType<Grant>(decide());
    ASSERT_EQ(grants.size(), 1u);
    EXPECT_EQ(grants[0].id, resumed);
    EXPECT_EQ(grants[0].upstream, "w1");
}

TEST_F(ShardSchedulerTest, PausedRequestIsRefusedWhenItsUpstreamIsGone)
{
    useUpstreams(1, 1);
    ask(3, 1, "w9");
    auto refusals = ofType<Refusal>(decide());
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals[0].kind, ErrorKind::UpstreamLostState);
}

// Guards against starvation: in this test, the highest tier always has requests waiting for every slot.
TEST_F(ShardSchedulerTest, GuaranteedSlotServesTheLowestClassDuringAnEndlessBurst)
{
    useUpstreams(1, 4);
    auto low = ask(3);
    std::vector<AskId> running;
    bool served = false;
    for (int step = 0; step < 1000 && !served; ++step) {
        for (int index = 0; index < 8; ++index)
            ask(0);
        for (const auto& id : std::exchange(running, {}))
            release(id);
        for (const auto& grant : ofType<Grant>(decide(100ms))) {
            served = served || grant.id == low;
            running.push_back(grant.id);
        }
    }
    EXPECT_TRUE(served);
    EXPECT_TRUE(m_now - TimePoint(1h) < 6s) << "served later than just after guaranteeAfter";
}

TEST_F(ShardSchedulerTest, GuaranteedRequestIsNotPreempted)
{
    useUpstreams(1, 1);
    auto first = ask(0);
    decide();
    auto low = ask(3);
    ask(0);
    m_now += 6s;
    release(first);
    auto grants = ofType<Grant>(decide());
    ASSERT_EQ(grants.size(), 1u);
    EXPECT_EQ(grants[0].id, low);
    EXPECT_TRUE(grants[0].guaranteed);
    ask(0);
    EXPECT_TRUE(ofType<Preemption>(decide(1s)).empty());
}

TEST_F(ShardSchedulerTest, RequestThatCannotMeetItsDeadlineIsRefusedOnArrival)
{
    useUpstreams(1, 1);
    std::vector<Refusal> refusals;
    // The initial estimate is 0.25 s per request, so 40 requests fill the 10 s that tier 1 may wait.
    for (int index = 0; index < 60; ++index)
        ask(1);
    refusals = ofType<Refusal>(decide());
    ASSERT_FALSE(refusals.empty());
    for (const auto& refusal : refusals) {
        EXPECT_EQ(refusal.kind, ErrorKind::DeadlineUnreachable);
        EXPECT_GT(refusal.retryAfter.count(), 0);
    }
    EXPECT_TRUE(ofType<Refusal>(decide(1s)).empty()) << "accepted requests must keep waiting";
}

// Guards against a refusal that ignores the guaranteed slot: higher tiers exceed the capacity, so the wait in tier
// order exceeds the maximum wait, but a guaranteed slot would serve the request in time.
TEST_F(ShardSchedulerTest, RequestThatAGuaranteedSlotServesInTimeIsAccepted)
{
    useUpstreams(1, 1);
    m_policies[2].guaranteeAfter = 1s;
    m_policies[2].maxWait = 4s;
    for (int index = 0; index < 30; ++index)
        ask(0);
    decide();
    auto low = ask(2);
    EXPECT_TRUE(ofType<Refusal>(decide()).empty());
    std::vector<Refusal> refusals;
    for (int index = 0; index < 30; ++index)
        ask(2);
    refusals = ofType<Refusal>(decide());
    ASSERT_FALSE(refusals.empty()) << "the guaranteed slot cannot serve all of them in time";
    for (const auto& refusal : refusals)
        EXPECT_NE(refusal.id, low);
}

TEST_F(ShardSchedulerTest, BacklogOfOneWorkspaceDoesNotRefuseAnother)
{
    useUpstreams(1, 1);
    for (int index = 0; index < 60; ++index)
        ask(1, 1);
    decide();
    ask(1, 2);
    EXPECT_TRUE(ofType<Refusal>(decide()).empty());
}

TEST_F(ShardSchedulerTest, WorkspacesOfATierShareSlotsFairly)
{
    useUpstreams(1, 1);
    auto first = ask(1, 1);
    decide();
    for (int index = 0; index < 5; ++index)
        ask(1, 1);
    auto light = ask(1, 2);
    m_now += 1s;
    release(first);
    // The flow with the backlog was charged for its first request, so the other flow is next.
    EXPECT_EQ(ofType<Grant>(decide()).at(0).id, light);
}

TEST_F(ShardSchedulerTest, FullQueueRefusesTheLowestTierFirst)
{
    m_shard = ShardScheduler({ 0, 3, true });
    useUpstreams(1, 1);
    ask(0);
    decide();
    ask(3);
    ask(3);
    ask(2);
    ask(0);
    auto refusals = ofType<Refusal>(std::exchange(m_decisions, {}));
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals[0].kind, ErrorKind::QueueFull);
    EXPECT_EQ(m_shard.waitingCount(0), 1u);
    EXPECT_EQ(m_shard.waitingCount(3), 1u);
}

TEST_F(ShardSchedulerTest, WaitingRequestIsRefusedAtItsDeadline)
{
    useUpstreams(1, 1);
    ask(0);
    decide();
    ask(1);
    EXPECT_TRUE(ofType<Refusal>(decide(9s)).empty());
    auto refusals = ofType<Refusal>(decide(1s));
    ASSERT_EQ(refusals.size(), 1u);
    EXPECT_EQ(refusals[0].kind, ErrorKind::WaitExpired);
}

TEST_F(ShardSchedulerTest, LeavingUpstreamGetsNoNewRequests)
{
    useUpstreams(2, 4);
    m_shard.markLeaving("w0");
    for (int index = 0; index < 8; ++index)
        ask(1);
    auto grants = ofType<Grant>(decide());
    EXPECT_EQ(grants.size(), 4u);
    for (const auto& grant : grants)
        EXPECT_EQ(grant.upstream, "w1");
}

TEST_F(ShardSchedulerTest, NewHomeGrantsOnlyTheHighestTierDuringCollection)
{
    useUpstreams(1, 4);
    m_shard.setCollectionEnd(m_now + 300ms);
    auto low = ask(2);
    auto high = ask(0);
    EXPECT_EQ(ofType<Grant>(decide()).at(0).id, high);
    EXPECT_EQ(m_shard.waitingCount(2), 1u);
    EXPECT_EQ(ofType<Grant>(decide(300ms)).at(0).id, low);
}

TEST_F(ShardSchedulerTest, RestoredRequestsHoldTheirSlots)
{
    useUpstreams(1, 1);
    Ask running;
    running.id = { 9, 1 };
    running.policy = &m_policies[1];
    running.arrived = m_now;
    m_shard.restore(running, "w0", false, m_now);
    ask(1);
    EXPECT_TRUE(ofType<Grant>(decide()).empty());
    release(running.id);
    EXPECT_EQ(ofType<Grant>(decide()).size(), 1u);
}

TEST_F(ShardSchedulerTest, RepeatedAskReturnsTheExistingGrant)
{
    useUpstreams(1, 4);
    auto id = ask(1);
    decide();
    --m_sequence;
    EXPECT_EQ(ask(1), id);
    auto grants = ofType<Grant>(std::exchange(m_decisions, {}));
    ASSERT_EQ(grants.size(), 1u);
    EXPECT_EQ(m_shard.runningCount(), 1u);
}

TEST_F(ShardSchedulerTest, DroppedEntryReleasesItsSlotsAndRequests)
{
    useUpstreams(1, 1);
    ask(1);
    ask(1);
    decide();
    m_shard.dropEntry(7, m_now);
    EXPECT_EQ(m_shard.runningCount(), 0u);
    EXPECT_EQ(m_shard.waitingCount(), 0u);
}

TEST_F(ShardSchedulerTest, FailedUpstreamIsEjectedThenTriedWithOneRequest)
{
    useUpstreams(1, 4);
    auto id = ask(1);
    decide();
    release(id, SlotOutcome::ConnectFailed);
    ask(1);
    ask(1);
    EXPECT_TRUE(ofType<Grant>(decide()).empty());
    EXPECT_EQ(ofType<Grant>(decide(600ms)).size(), 1u);
}

TEST_F(ShardSchedulerTest, SlowUpstreamGetsFewerRequests)
{
    useUpstreams(3, 8);
    for (int round = 0; round < 40; ++round) {
        for (int index = 0; index < 6; ++index)
            ask(1);
        for (const auto& grant : ofType<Grant>(decide(500ms)))
            release(grant.id, SlotOutcome::Completed, grant.upstream == "w0" ? 40ms : 10ms);
    }
    for (int index = 0; index < 12; ++index)
        ask(1);
    size_t onSlow = 0;
    for (const auto& grant : ofType<Grant>(decide()))
        onSlow += grant.upstream == "w0";
    EXPECT_LE(onSlow, 1u);
}

TEST_F(ShardSchedulerTest, FalseLoadReportDoesNotExcludeAnUpstream)
{
    useUpstreams(1, 4);
    for (int index = 0; index < 100; ++index)
        m_shard.report("w0", { 1000, 1000, false });
    ask(0);
    EXPECT_EQ(ofType<Grant>(decide()).size(), 1u);
}

} // namespace Brassladder::ClassServing::Scheduling
