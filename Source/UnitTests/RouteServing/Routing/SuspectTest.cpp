// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/Suspect.h"
#include "RouteServing/Routing/SuspectLedger.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <malloc.h>
#include <rapidcheck.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::TimePoint;

namespace {

constexpr TimePoint s_start(1h);

CrashedRun runAt(const std::string& upstream, Common::Milliseconds sent, Common::Milliseconds ended)
{
    return { { upstream, 1 }, "r-" + upstream, s_start + sent, s_start + ended };
}

SuspectRecord suspectWith(std::initializer_list<CrashedRun> runs)
{
    SuspectRecord suspect;
    for (const auto& run : runs)
        addRun(suspect, run);
    return suspect;
}

RequestIdentity identityOf(uint64_t number) { return { number, 10, { number, number } }; }

InterruptedAttempt attemptOf(uint64_t number, TimePoint sent, TimePoint ended, const std::string& workspace = "w")
{
    return { "r" + std::to_string(number), identityOf(number), workspace, "/x", sent, ended };
}

} // namespace

TEST(SuspectTest, ThreeSequentialCrashesHoldARequest)
{
    auto suspect = suspectWith({ runAt("a", 0ms, 200ms) });
    EXPECT_EQ(suspicionOf(suspect, s_start + 1s), Suspicion::Once);
    addRun(suspect, runAt("b", 300ms, 500ms));
    EXPECT_EQ(suspicionOf(suspect, s_start + 1s), Suspicion::Repeated);
    addRun(suspect, runAt("c", 600ms, 800ms));
    EXPECT_EQ(suspicionOf(suspect, s_start + 1s), Suspicion::Held);
}

// Ten engines of a failure domain fail together while the same request is in flight at each of them.
TEST(SuspectTest, SimultaneousCrashesAreNotSequential)
{
    SuspectRecord suspect;
    for (int engine = 0; engine < 10; ++engine)
        addRun(suspect, runAt("e" + std::to_string(engine), Common::Milliseconds(engine * 20), 500ms + engine * 1ms));
    EXPECT_EQ(countCrashes(suspect).sequential, 1U);
    EXPECT_EQ(suspicionOf(suspect, s_start + 1s), Suspicion::Repeated) << "it runs alone until a run completes";
    clear(suspect, s_start + 2s);
    EXPECT_EQ(suspicionOf(suspect, s_start + 2s), Suspicion::None);
}

TEST(SuspectTest, OneCrashSeenBySeveralRoutersCountsOnce)
{
    auto suspect = suspectWith({ runAt("a", 0ms, 200ms) });
    EXPECT_FALSE(addRun(suspect, runAt("a", 100ms, 201ms)));
    auto again = runAt("a", 300ms, 500ms);
    again.upstream.born = 2;
    EXPECT_TRUE(addRun(suspect, again)) << "a later incarnation of the id is another process";
    EXPECT_EQ(countCrashes(suspect).sequential, 2U);
}

TEST(SuspectTest, ACompletedRunClearsEarlierCrashes)
{
    auto suspect = suspectWith({ runAt("a", 0ms, 200ms), runAt("b", 300ms, 500ms) });
    EXPECT_TRUE(clear(suspect, s_start + 600ms));
    EXPECT_EQ(suspicionOf(suspect, s_start + 1s), Suspicion::None);
    EXPECT_FALSE(addRun(suspect, runAt("b", 300ms, 500ms))) << "a delayed message of another router";
    addRun(suspect, runAt("c", 700ms, 900ms));
    EXPECT_EQ(suspicionOf(suspect, s_start + 1s), Suspicion::Once);
}

TEST(SuspectTest, AHeldRequestIsTriedThreeTimesAndLaterEachTime)
{
    auto suspect = suspectWith({ runAt("a", 0ms, 200ms), runAt("b", 300ms, 500ms), runAt("c", 600ms, 800ms) });
    auto last = s_start + 800ms;
    for (auto trialDelay : { Common::Milliseconds(10min), Common::Milliseconds(1h), Common::Milliseconds(6h) }) {
        EXPECT_EQ(nextTrial(suspect), last + trialDelay);
        EXPECT_EQ(suspicionOf(suspect, last + trialDelay - 1ms), Suspicion::Held);
        EXPECT_EQ(suspicionOf(suspect, last + trialDelay), Suspicion::OnTrial);
        last += trialDelay;
        countTrial(suspect, last);
        EXPECT_EQ(suspicionOf(suspect, last), Suspicion::Held) << "a single trial run is allowed";
    }
    EXPECT_FALSE(nextTrial(suspect));
    EXPECT_EQ(suspicionOf(suspect, last + 48h), Suspicion::Held);
    clear(suspect, last + 48h);
    EXPECT_EQ(suspicionOf(suspect, last + 48h), Suspicion::None) << "an operator cleared the request";
    EXPECT_FALSE(nextTrial(suspect));
}

// Guards against routers that end in different states because records arrived in another order or repeatedly.
TEST(SuspectTest, MergingIsTheSameInAnyOrderAndHoweverOften)
{
    EXPECT_TRUE(rc::check([] {
        std::vector<SuspectRecord> records;
        for (int index = 0; index < 6; ++index) {
            SuspectRecord record;
            auto sent = Common::Milliseconds(*rc::gen::inRange(0, 9000));
            auto upstream = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 12)));
            // One incarnation crashes once.
            auto ended = Common::Milliseconds(1000 * (upstream[0] - 'a') + 500);
            addRun(record, runAt(upstream, std::min(sent, ended), ended));
            if (*rc::gen::inRange(0, 4) == 0)
                clear(record, s_start + Common::Milliseconds(*rc::gen::inRange(0, 12) * 1000));
            records.push_back(record);
        }
        auto mergeAll = [](const std::vector<SuspectRecord>& all) {
            SuspectRecord sum;
            for (const auto& record : all)
                merge(sum, record);
            return sum;
        };
        auto inOrder = mergeAll(records);
        std::reverse(records.begin(), records.end());
        auto reversed = mergeAll(records);
        RC_ASSERT(countCrashes(inOrder).all == countCrashes(reversed).all);
        RC_ASSERT(inOrder.cleared == reversed.cleared);
        auto twice = inOrder;
        RC_ASSERT(!merge(twice, reversed));
    }));
}

TEST(SuspectTest, RunsAreBoundedAndADroppedRunIsNotAddedAgain)
{
    SuspectRecord suspect;
    for (int engine = 0; engine < 20; ++engine)
        addRun(suspect, runAt("e" + std::to_string(engine), 0ms, 500ms + engine * 1ms));
    EXPECT_EQ(suspect.runs.size(), maxCrashedRuns);
    EXPECT_FALSE(addRun(suspect, runAt("e5", 0ms, 505ms)));
    addRun(suspect, runAt("f", 600ms, 800ms));
    addRun(suspect, runAt("g", 900ms, 1100ms));
    EXPECT_EQ(suspicionOf(suspect, s_start + 2s), Suspicion::Held) << "the sequential runs are kept";
}

namespace {

// Simulates a fleet with one ledger in virtual time. Requests are sent repeatedly. Request 0, the crashing one,
// crashes each engine that runs it, and engines also crash for other reasons.
struct History {
    static constexpr size_t engines = 12;
    static constexpr size_t harmlessRequests = 6;

    SuspectLedger ledger;
    TimePoint now { s_start };
    uint64_t born { 0 };
    size_t crashingRuns { 0 };
    // Since when a harmless request is held without a due trial.
    std::map<uint64_t, TimePoint> heldSince;

    // Returns whether a request may run now. Records a trial if the request is on trial.
    bool mayRun(uint64_t number)
    {
        auto suspicion = ledger.suspicionOf(identityOf(number), now);
        if (suspicion == Suspicion::OnTrial) {
            auto record = *ledger.find(identityOf(number));
            countTrial(record, now);
            ledger.merge(record, now);
        }
        return suspicion != Suspicion::Held;
    }

    // Runs these requests on one engine. It crashes if the crashing request is among them or if
    // `crashesIndependently` is set.
    void run(const std::vector<uint64_t>& numbers, bool crashesIndependently, Common::Milliseconds time)
    {
        auto sent = now;
        now += time;
        bool hasCrashingRequest = std::find(numbers.begin(), numbers.end(), 0) != numbers.end();
        crashingRuns += hasCrashingRequest;
        if (!hasCrashingRequest && !crashesIndependently) {
            for (auto number : numbers)
                ledger.recordCompleted(identityOf(number), now);
            return;
        }
        std::vector<InterruptedAttempt> attempts;
        attempts.reserve(numbers.size());
        for (auto number : numbers)
            attempts.push_back(attemptOf(number, sent, now));
        ledger.recordCrash({ "e", ++born }, attempts, now);
    }
};

} // namespace

// A request that can complete is cleared by a trial ten minutes after it was held, unless its engine crashes for
// another reason. A request that never completes runs at most three times before it is held, and three more times as a
// trial.
TEST(SuspectTest, HarmlessRequestsAreHeldForTenMinutesAtMostAndCrashingOnesRunThreeTimes)
{
    EXPECT_TRUE(rc::check([] {
        History history;
        for (int step = 0; step < 300; ++step) {
            std::vector<uint64_t> batch;
            for (uint64_t number = 0; number <= History::harmlessRequests; ++number) {
                if (*rc::gen::inRange(0, 3) == 0 && history.mayRun(number))
                    batch.push_back(number);
            }
            bool crashesIndependently = *rc::gen::inRange(0, 8) == 0;
            if (!batch.empty())
                history.run(batch, crashesIndependently, Common::Milliseconds(*rc::gen::inRange(100, 2000)));
            history.now += Common::Milliseconds(*rc::gen::inRange(50, 3000));
            // Without other crashes, a held harmless request gets a trial and is cleared.
            if (step % 100 == 99) {
                history.now += 10min;
                for (uint64_t number = 1; number <= History::harmlessRequests; ++number) {
                    RC_ASSERT(history.mayRun(number));
                    history.run({ number }, false, 200ms);
                    RC_ASSERT(history.ledger.suspicionOf(identityOf(number), history.now) == Suspicion::None);
                }
            }
        }
        RC_ASSERT(history.crashingRuns <= 3U + 3U);
    }));
}

TEST(SuspectTest, ACrashingRequestRunsThreeTimesInTenMinutesWhateverRunsBesideIt)
{
    EXPECT_TRUE(rc::check([] {
        History history;
        while (history.now < s_start + 9min) {
            std::vector<uint64_t> batch;
            for (uint64_t number = 0; number <= History::harmlessRequests; ++number) {
                if (*rc::gen::inRange(0, 2) == 0 && history.mayRun(number))
                    batch.push_back(number);
            }
            if (!batch.empty())
                history.run(batch, *rc::gen::inRange(0, 20) == 0, Common::Milliseconds(*rc::gen::inRange(100, 2000)));
            history.now += Common::Milliseconds(*rc::gen::inRange(50, 3000));
        }
        RC_ASSERT(history.crashingRuns == 3U);
    }));
}

TEST(SuspectLedgerTest, ItContainsOnlySuspects)
{
    SuspectLedger ledger;
    EXPECT_TRUE(ledger.isEmpty());
    ledger.recordCompleted(identityOf(1), s_start);
    EXPECT_TRUE(ledger.isEmpty()) << "a completed request that is not a suspect adds no entry";
    std::vector<InterruptedAttempt> attempts { attemptOf(1, s_start, s_start + 1s) };
    ledger.recordCrash({ "a", 1 }, attempts, s_start + 1s);
    EXPECT_TRUE(ledger.mayContain(1, 10));
    EXPECT_FALSE(ledger.mayContain(1, 11));
    EXPECT_FALSE(ledger.mayContain(2, 10));
    EXPECT_EQ(ledger.suspicionOf(identityOf(1), s_start + 1s), Suspicion::Once);
    EXPECT_TRUE(ledger.clearSuspect(identityOf(1).text(), s_start + 2s));
    EXPECT_EQ(ledger.suspicionOf(identityOf(1), s_start + 2s), Suspicion::None);
    EXPECT_FALSE(ledger.clearSuspect("nothing", s_start + 2s));
}

TEST(SuspectLedgerTest, TheRepeatedScopeHoldsRepeatedSuspectsAndTheirLaterChanges)
{
    using Scope = SuspectLedger::Scope;
    SuspectLedger ledger;
    std::vector<InterruptedAttempt> first { attemptOf(1, s_start, s_start + 1s), attemptOf(2, s_start, s_start + 1s) };
    ledger.recordCrash({ "a", 1 }, first, s_start + 1s);
    EXPECT_EQ(ledger.changesAfter(0, Scope::All).records.size(), 2U);
    EXPECT_TRUE(ledger.changesAfter(0, Scope::Repeated).records.empty());
    std::vector<InterruptedAttempt> second { attemptOf(1, s_start + 2s, s_start + 3s) };
    ledger.recordCrash({ "b", 1 }, second, s_start + 3s);
    auto known = ledger.revision();
    EXPECT_EQ(ledger.changesAfter(0, Scope::Repeated).records.size(), 1U);
    ledger.recordCompleted(identityOf(1), s_start + 4s);
    auto changes = ledger.changesAfter(known, Scope::Repeated);
    ASSERT_EQ(changes.records.size(), 1U);
    EXPECT_EQ(changes.records.front().cleared, s_start + 4s);
    EXPECT_EQ(ledger.changesAfter(0, Scope::All, 1).records.size(), 1U);
    EXPECT_LT(ledger.changesAfter(0, Scope::All, 1).upTo, ledger.revision());
}

// A caller that varies its requests fills only its own workspace's share and evicts no entry of another workspace.
TEST(SuspectLedgerTest, AWorkspaceEvictsOnlyItsOwnEntriesAndHeldRequestsStay)
{
    SuspectLedger ledger;
    for (int crash = 0; crash < 3; ++crash) {
        auto sent = s_start + crash * 1s;
        std::vector<InterruptedAttempt> attempts { attemptOf(1, sent, sent + 500ms, "noisy"),
            attemptOf(2, sent, sent + 500ms, "other") };
        ledger.recordCrash({ "a", static_cast<uint64_t>(crash) }, attempts, sent + 500ms);
    }
    auto now = s_start + 5s;
    for (uint64_t number = 10; number < 5000; ++number) {
        std::vector<InterruptedAttempt> attempts { attemptOf(number, now - 1s, now, "noisy") };
        ledger.recordCrash({ "b", number }, attempts, now);
    }
    EXPECT_LE(ledger.list(now).size(), 128U + 1U);
    EXPECT_EQ(ledger.suspicionOf(identityOf(1), now), Suspicion::Held);
    EXPECT_EQ(ledger.suspicionOf(identityOf(2), now), Suspicion::Held);
}

TEST(SuspectLedgerTest, ItsMemoryIsBounded)
{
    auto before = mallinfo2().uordblks;
    SuspectLedger ledger;
    for (uint64_t number = 0; number < 6000; ++number) {
        for (uint64_t crash = 0; crash < 10; ++crash) {
            auto sent = s_start + crash * 1s;
            auto attempt = attemptOf(number, sent, sent + 500ms, "workspace-" + std::to_string(number % 40));
            attempt.target = "/summaries/of/a/charging/session?number=" + std::to_string(number);
            attempt.requestId = "0123456789abcdef";
            std::vector<InterruptedAttempt> attempts { attempt };
            ledger.recordCrash({ "i-0123456789", crash }, attempts, sent + 500ms);
        }
    }
    EXPECT_LE(ledger.list(s_start).size(), 1024U);
    EXPECT_GE(ledger.list(s_start).size(), 1024U * 7 / 8 - 1);
    auto bytes = mallinfo2().uordblks - before;
    std::cout << ledger.list(s_start).size() << " entries with 8 runs each take " << bytes << " bytes\n";
    EXPECT_LT(bytes, size_t(3) << 20);
}

TEST(SuspectLedgerTest, ExpiredEntriesAreRemoved)
{
    SuspectLedger ledger;
    for (int crash = 0; crash < 3; ++crash) {
        auto sent = s_start + crash * 1s;
        std::vector<InterruptedAttempt> attempts { attemptOf(1, sent, sent + 500ms) };
        if (!crash)
            attempts.push_back(attemptOf(2, sent, sent + 500ms));
        ledger.recordCrash({ "a", static_cast<uint64_t>(crash) }, attempts, sent + 500ms);
    }
    auto crash = [&](uint64_t number, TimePoint now) {
        std::vector<InterruptedAttempt> attempts { attemptOf(number, now, now) };
        ledger.recordCrash({ "b", number }, attempts, now);
    };
    crash(3, s_start + 11min);
    EXPECT_FALSE(ledger.find(identityOf(2)));
    EXPECT_TRUE(ledger.find(identityOf(1))) << "held requests are kept longer";
    crash(4, s_start + 25h);
    EXPECT_FALSE(ledger.find(identityOf(1)));
}

} // namespace Brassladder::RouteServing::Routing
