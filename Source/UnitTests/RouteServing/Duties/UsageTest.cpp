// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Duties/FleetClock.h"
#include "RouteServing/Duties/UsageLedger.h"
#include "RouteServing/Duties/UsageReports.h"
#include "RouteServing/Duties/UsageStart.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Brassladder::RouteServing::Duties {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_start(1h);
const UsageTimes s_times { 5000ms, 10'000ms };
constexpr uint64_t s_window = 100;

// Merges all counts of `from` into `to`.
void forwardAll(const UsageLedger& from, UsageLedger& to) { to.merge(from.changesAfter(0).routers); }

} // namespace

TEST(UsageLedgerTest, CountsOfAllRoutersAreSummedByWindowAndWorkspace)
{
    UsageLedger a({ "a", 1 }, s_window);
    UsageLedger b({ "b", 1 }, s_window);
    a.count("blue", s_window + 1);
    a.count("blue", s_window + 1);
    b.count("blue", s_window + 1);
    b.count("red", s_window + 1);
    a.count("red", s_window + 2);
    forwardAll(b, a);
    EXPECT_EQ(a.total(s_window + 1), (WorkspaceCounts { { "blue", 3 }, { "red", 1 } }));
    EXPECT_EQ(a.total(s_window + 2), (WorkspaceCounts { { "red", 1 } }));
}

TEST(UsageLedgerTest, WindowIsFinalOnceAllProcessesThatWereUpHaveFinishedIt)
{
    UsageLedger a({ "a", 1 }, s_window);
    UsageLedger b({ "b", 1 }, s_window);
    forwardAll(b, a);
    a.advance(s_window + 1);
    EXPECT_FALSE(a.isFinal(s_window)) << "b has not finished the window";
    b.advance(s_window + 1);
    forwardAll(b, a);
    EXPECT_TRUE(a.isFinal(s_window));
    EXPECT_FALSE(a.isFullyCounted(s_window)) << "both processes started during the window";
    a.advance(s_window + 2);
    EXPECT_TRUE(a.isFullyCounted(s_window + 1));
    EXPECT_EQ(a.unfinishedProcesses(s_window + 1), 1U);
    b.finish();
    forwardAll(b, a);
    EXPECT_EQ(a.unfinishedProcesses(s_window + 1), 0U) << "a process that stops as planned has finished all windows";
}

TEST(UsageLedgerTest, RouterThatStartedAfterTheWindowDoesNotDelayIt)
{
    UsageLedger a({ "a", 1 }, s_window);
    UsageLedger later({ "b", 1 }, s_window + 3);
    a.advance(s_window + 3);
    forwardAll(later, a);
    EXPECT_TRUE(a.isFinal(s_window + 1));
    EXPECT_FALSE(a.isFinal(s_window + 3));
}

TEST(UsageLedgerTest, OldWindowsAndTheirProcessesAreEvicted)
{
    UsageLedger a({ "a", 1 }, s_window);
    UsageLedger b({ "b", 1 }, s_window);
    b.count("blue", s_window);
    b.finish();
    forwardAll(b, a);
    EXPECT_EQ(a.total(s_window).size(), 1U);
    a.advance(s_window + UsageLedger::retainedWindows);
    EXPECT_TRUE(a.total(s_window).empty());
    EXPECT_EQ(a.changesAfter(0).routers.size(), 1U) << "only the process of the ledger itself remains";
}

TEST(UsageLedgerTest, RowsFarInTheFutureAreIgnored)
{
    UsageLedger a({ "a", 1 }, s_window);
    const std::vector<RouterUsage> outOfRange { { { "b", 1 }, 0, s_window, { { s_window + 1000, "blue", 7 } } } };
    a.merge(outOfRange);
    EXPECT_TRUE(a.total(s_window + 1000).empty());
}

// The totals do not depend on which messages were lost, duplicated or delayed, or over which path they came.
TEST(UsageLedgerTest, MergeIsCommutativeAndIdempotent)
{
    EXPECT_TRUE(rc::check([] {
        UsageLedger source({ "a", 1 }, s_window);
        UsageLedger hub({ "h", 1 }, s_window);
        UsageLedger holder({ "z", 1 }, s_window);
        std::vector<std::vector<RouterUsage>> messages;
        auto steps = *rc::gen::inRange(1, 40);
        for (int step = 0; step < steps; ++step) {
            auto workspace = *rc::gen::element<std::string>("blue", "red", "green");
            source.count(workspace, s_window + static_cast<uint64_t>(step / 14));
            messages.push_back(source.changesAfter(*rc::gen::inRange<uint64_t>(0, source.revision() + 1)).routers);
            auto index = *rc::gen::inRange<size_t>(0, messages.size());
            (*rc::gen::arbitrary<bool>() ? hub : holder).merge(messages[index]);
        }
        forwardAll(source, hub);
        forwardAll(hub, holder);
        forwardAll(hub, holder);
        for (uint64_t window = s_window; window < s_window + 3; ++window)
            RC_ASSERT(holder.total(window) == source.total(window));
    }));
}

// Partial updates of limited size, merged in sequence, add up to the complete ledger.
TEST(UsageLedgerTest, PartialUpdatesOfAnySizeYieldTheCompleteLedger)
{
    EXPECT_TRUE(rc::check([] {
        UsageLedger source({ "a", 1 }, s_window);
        UsageLedger other({ "b", 1 }, s_window);
        UsageLedger holder({ "z", 1 }, s_window);
        for (int step = *rc::gen::inRange(1, 40); step > 0; --step)
            (step % 3 ? source : other).count("w" + std::to_string(*rc::gen::inRange(0, 9)), s_window);
        forwardAll(other, source);
        uint64_t position = 0;
        while (position < source.revision()) {
            auto most = *rc::gen::inRange<size_t>(1, 10);
            auto part = source.changesAfter(position, most);
            RC_ASSERT(part.upTo > position);
            size_t rows = 0;
            for (const auto& router : part.routers)
                rows += router.rows.size();
            RC_ASSERT(rows <= most);
            holder.merge(part.routers);
            position = part.upTo;
        }
        RC_ASSERT(holder.total(s_window) == source.total(s_window));
    }));
}

TEST(UsageReportsTest, AWindowIsWrittenOnceFinalAndThenSentAsWritten)
{
    UsageLedger ledger({ "a", 1 }, s_window - 1);
    ledger.count("blue", s_window);
    UsageReports reports(s_times);
    auto end = s_times.endOf(s_window);
    EXPECT_EQ(reports.next(s_window, ledger, end - 1ms), UsageReports::Step::Wait);
    ledger.advance(s_window + 1);
    EXPECT_EQ(reports.next(s_window, ledger, end + 499ms), UsageReports::Step::Wait)
        << "counts may still be in transit";
    EXPECT_EQ(reports.next(s_window, ledger, end + 500ms), UsageReports::Step::Append);
    reports.recordWritten({ 1, s_window, { { "blue", 1 } } });
    reports.recordWritten({ 2, s_window, { { "blue", 2 } } });
    EXPECT_EQ(reports.next(s_window, ledger, end + 500ms), UsageReports::Step::Send);
    EXPECT_EQ(reports.written(s_window)->counts.at("blue"), 1U) << "the first record of a window is authoritative";
}

TEST(UsageReportsTest, UnreachableRouterDelaysAReportUntilItIsNearlyDue)
{
    UsageLedger ledger({ "a", 1 }, s_window - 1);
    UsageLedger unreachable({ "b", 1 }, s_window - 1);
    forwardAll(unreachable, ledger);
    ledger.advance(s_window + 1);
    UsageReports reports(s_times);
    auto end = s_times.endOf(s_window);
    EXPECT_EQ(reports.next(s_window, ledger, end + 8s), UsageReports::Step::Wait);
    EXPECT_EQ(reports.next(s_window, ledger, end + 9s), UsageReports::Step::Append);
}

TEST(UsageReportsTest, WindowThatNoRouterCountedCompletelyIsNotSent)
{
    UsageLedger ledger({ "a", 1 }, s_window);
    ledger.count("blue", s_window);
    ledger.advance(s_window + 1);
    UsageReports reports(s_times);
    auto end = s_times.endOf(s_window);
    EXPECT_EQ(reports.next(s_window, ledger, end + 1s), UsageReports::Step::Wait);
    EXPECT_EQ(reports.next(s_window, ledger, end + 9s), UsageReports::Step::GiveUp);
}

TEST(UsageStartTest, StartedRequestsCountEvenWithoutAResponse)
{
    using Outcome = Routing::AttemptOutcome;
    EXPECT_TRUE(countsAsUsage({ Outcome::Answered, false, 10ms, std::nullopt }));
    EXPECT_FALSE(countsAsUsage({ Outcome::Answered, true, 10ms, 100ms })) << "counted at its first event";
    EXPECT_TRUE(countsAsUsage({ Outcome::ServerError, true, 10ms, 100ms }));
    EXPECT_TRUE(countsAsUsage({ Outcome::Interrupted, true, 100ms, 100ms }));
    EXPECT_FALSE(countsAsUsage({ Outcome::Interrupted, true, 99ms, 100ms })) << "the generation was still queued";
    EXPECT_FALSE(countsAsUsage({ Outcome::Interrupted, true, 10s, std::nullopt }));
    EXPECT_TRUE(countsAsUsage({ Outcome::Interrupted, false, 1ms, std::nullopt }));
    for (auto outcome : { Outcome::NotExecuted, Outcome::ConnectFailed, Outcome::CancelledBeforeSending,
             Outcome::CancelledAfterSending })
        EXPECT_FALSE(countsAsUsage({ outcome, false, 10s, 1ms }));
}

TEST(FleetClockTest, ClockJumpIsAdoptedOnlyIfItPersists)
{
    FleetClock clock(1'000'000ms, s_start);
    clock.observeSystem(1'012'000ms, s_start + 10s);
    EXPECT_EQ(clock.agreedTime(s_start + 10s), 1'010'000ms);
    clock.observeSystem(1'020'000ms, s_start + 20s);
    clock.observeSystem(1'032'000ms, s_start + 30s);
    EXPECT_EQ(clock.agreedTime(s_start + 30s), 1'030'000ms);
    clock.observeSystem(1'092'000ms, s_start + 90s);
    EXPECT_EQ(clock.agreedTime(s_start + 90s), 1'092'000ms) << "the jump has persisted for a minute";
}

TEST(FleetClockTest, HubUsesTheMedianTimeAndSubscribersFollowIt)
{
    FleetClock hub(5'002'000ms, s_start);
    for (const char* id : { "a", "b", "c" })
        hub.recordSubscriberTime(id, 5'000'000ms, s_start);
    EXPECT_EQ(hub.agreedTime(s_start), 5'000'000ms) << "the hub's clock was ahead at its start";
    FleetClock subscriber(4'998'000ms, s_start);
    subscriber.recordHubTime(hub.agreedTime(s_start + 10ms), s_start, s_start + 20ms);
    EXPECT_EQ(subscriber.agreedTime(s_start + 20ms), 5'000'020ms);
    EXPECT_EQ(subscriber.ownTime(s_start + 20ms), 4'998'020ms) << "a subscriber reports its own time";
    EXPECT_EQ(subscriber.agreedTime(s_start + 10s), 5'008'000ms) << "the time of the hub has expired";
}

} // namespace Brassladder::RouteServing::Duties
