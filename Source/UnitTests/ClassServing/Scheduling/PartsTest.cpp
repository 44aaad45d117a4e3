// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Scheduling/FairQueue.h"
#include "ClassServing/Scheduling/Rendezvous.h"
#include "ClassServing/Scheduling/RetryBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Brassladder::ClassServing::Scheduling {

using namespace std::chrono_literals;

TEST(RetryBudgetTest, RetriesAgainstAFailingPoolAreBounded)
{
    RetryBudget budget;
    Common::TimePoint now(1h);
    int retries = 0;
    static constexpr int tries = 10'000;
    for (int index = 0; index < tries; ++index) {
        budget.deposit();
        retries += budget.withdraw(now);
        now += 1ms;
    }
    // A tenth of the attempts, one per second for ten seconds, and the initial balance.
    EXPECT_LE(retries, tries / 10 + 10 + 10);
}

TEST(RendezvousTest, LostNodeMovesOnlyItsOwnSubjects)
{
    std::vector<std::string> nodes { "r1", "r2", "r3", "r4", "r5", "r6", "r7" };
    std::vector<std::string> fewer { "r1", "r2", "r3", "r5", "r6", "r7" };
    for (int index = 0; index < 1000; ++index) {
        auto subject = "shard/" + std::to_string(index);
        auto before = rendezvous(nodes, subject);
        EXPECT_TRUE(before == "r4" || rendezvous(fewer, subject) == before) << subject;
    }
    EXPECT_EQ(rendezvous({}, "x"), "");
}

// With any weights, backlogged flows are served in proportion to them.
TEST(FairQueueTest, BackloggedFlowsShareByWeight)
{
    bool holds = rc::check("shares follow weights", [] {
        auto weights = *rc::gen::container<std::vector<int>>(*rc::gen::inRange(2, 6), rc::gen::inRange(1, 5));
        ClassPolicy policy;
        policy.name = "class";
        FairQueue queue;
        std::list<WaitingRequest> storage;
        static constexpr int each = 200;
        for (size_t flow = 0; flow < weights.size(); ++flow) {
            for (int index = 0; index < each; ++index) {
                auto& waiting = storage.emplace_back();
                waiting.ask.policy = &policy;
                waiting.ask.workspace = flow + 1;
                waiting.ask.weight = weights[flow];
                waiting.slotSeconds = 1;
                waiting.flowKey = flow + 1;
                queue.push(waiting);
            }
        }
        int total = 0;
        for (int weight : weights)
            total += weight;
        // Serves few enough requests that no flow becomes empty.
        int served = each * total / 5;
        served = std::min(served, each);
        std::map<uint64_t, int> counts;
        for (int index = 0; index < served; ++index) {
            auto* next = queue.front();
            ++counts[next->ask.workspace];
            queue.serve(*next);
        }
        for (size_t flow = 0; flow < weights.size(); ++flow) {
            int fair = served * weights[flow] / total;
            RC_ASSERT(std::abs(counts[flow + 1] - fair) <= weights[flow] + 1);
        }
    });
    EXPECT_TRUE(holds);
}

} // namespace Brassladder::ClassServing::Scheduling
