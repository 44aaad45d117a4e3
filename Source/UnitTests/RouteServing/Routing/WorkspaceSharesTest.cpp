// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/Upstream.h"
#include "RouteServing/Routing/WorkspaceShares.h"

#include <gtest/gtest.h>
#include <numeric>
#include <random>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_start(1h);
const std::string s_service = "records";
const uint32_t s_serviceHash = shortHash(s_service);

WorkspaceShares::Work work(std::string_view workspace, uint64_t tokens, unsigned rank = 0)
{
    return { s_service, workspace, rank, tokens };
}

// Returns the table of a fleet in which the workspaces request these tokens per second at rank 0.
WorkspaceDemands table(const std::map<std::string, uint64_t>& requested, uint64_t admitted, uint64_t refused)
{
    WorkspaceDemands demands;
    for (const auto& [name, tokens] : requested)
        demands.rows[{ s_serviceHash, shortHash(name), 0 }] = tokens;
    demands.rows[{ s_serviceHash, static_cast<uint32_t>(RowKind::Admitted), 0 }] = admitted;
    demands.rows[{ s_serviceHash, static_cast<uint32_t>(RowKind::Refused), 0 }] = refused;
    return demands;
}

// A router that has served requests of `workspaces` for long enough to limit some.
std::unique_ptr<WorkspaceShares> startedShares(
    const std::vector<std::string>& workspaces, WorkspaceShares::WeightOf weightOf = {}, std::string_view id = "r1")
{
    auto shares = std::make_unique<WorkspaceShares>(id, std::move(weightOf));
    for (const auto& workspace : workspaces)
        shares->recordDemand(work(workspace, 300), s_start - 2s);
    return shares;
}

double admittedFraction(const WorkspaceShares& shares, std::string_view workspace, unsigned rank = 0)
{
    return shares.admittedFraction(s_serviceHash, shortHash(workspace), rank, s_start);
}

} // namespace

TEST(WorkspaceSharesTest, TheLevelSharesWhatSmallParticipantsLeave)
{
    EXPECT_FALSE(fairLevel({ { 1 }, { 2 } }, 3)) << "the capacity suffices";
    EXPECT_FALSE(fairLevel({}, 0));
    EXPECT_DOUBLE_EQ(*fairLevel({ { 1 }, { 10 }, { 10 } }, 11), 5);
    EXPECT_DOUBLE_EQ(*fairLevel({ { 10, 1 }, { 10, 3 } }, 8), 2);
    EXPECT_DOUBLE_EQ(*fairLevel({ { 3, 1 }, { 10, 3 } }, 8), 2) << "the first one is over its weight's part";
    EXPECT_DOUBLE_EQ(*fairLevel({ { 1 } }, 0), 0);
}

// Guards against a division that wastes capacity, exceeds it, or takes from a participant within its share.
TEST(WorkspaceSharesTest, TheDivisionIsMaxMinFairForRandomRequests)
{
    std::mt19937 random(7);
    std::uniform_real_distribution<> amount(0, 100);
    std::uniform_real_distribution<> weight(0.1, 5);
    for (int trial = 0; trial < 2000; ++trial) {
        std::vector<ShareRequest> requests(1 + random() % 30);
        double total = 0;
        for (auto& request : requests) {
            request = { amount(random), weight(random) };
            total += request.amount;
        }
        auto capacity = total * amount(random) / 80;
        auto level = fairLevel(requests, capacity);
        if (capacity >= total * 1.000001) {
            ASSERT_FALSE(level);
            continue;
        }
        if (!level)
            continue;
        double given = 0;
        for (const auto& request : requests)
            given += std::min(request.amount, request.weight * *level);
        ASSERT_NEAR(given, capacity, 1e-6 * total);
    }
}

// Guards against a limit while there is room: it would cost callers their requests for nothing.
TEST(WorkspaceSharesTest, NothingIsLimitedWhileHardlyAnythingIsRefused)
{
    std::mt19937 random(11);
    for (int trial = 0; trial < 500; ++trial) {
        std::map<std::string, uint64_t> requested;
        std::vector<std::string> names;
        for (size_t index = 0; index < 1 + random() % 30; ++index) {
            names.push_back("w" + std::to_string(index));
            requested[names.back()] = random() % 1'000'000;
        }
        auto admitted = 1'000'000 + random() % 9'000'000;
        auto shares = startedShares(names);
        shares->update(table(requested, admitted, admitted / 101), s_start);
        EXPECT_EQ(shares->limitedCount(s_start), 0U);
        for (const auto& name : names)
            ASSERT_FALSE(shares->isOverShare(s_serviceHash, shortHash(name), 0, s_start));
    }
}

// Guards against a limit for a workspace within its share, and against unused shares that nobody gets.
TEST(WorkspaceSharesTest, OnlyWorkspacesOverTheirShareAreLimited)
{
    auto shares = startedShares({ "hot", "a", "b" });
    shares->update(table({ { "hot", 90'000 }, { "a", 10'000 }, { "b", 20'000 } }, 60'000, 60'000), s_start);
    EXPECT_DOUBLE_EQ(admittedFraction(*shares, "a"), 1);
    EXPECT_DOUBLE_EQ(admittedFraction(*shares, "b"), 1);
    EXPECT_NEAR(admittedFraction(*shares, "hot"), (60'000 * 0.98 - 30'000) / 90'000.0, 0.01);
    EXPECT_EQ(shares->limitedCount(s_start), 1U);
    EXPECT_DOUBLE_EQ(admittedFraction(*shares, "hot", 1), 1) << "another rank is not short";
    EXPECT_DOUBLE_EQ(admittedFraction(*shares, "unknown"), 1);
}

TEST(WorkspaceSharesTest, ASingleWorkspaceIsNeverOverItsShare)
{
    auto shares = startedShares({ "only" });
    shares->update(table({ { "only", 90'000 } }, 10'000, 80'000), s_start);
    EXPECT_DOUBLE_EQ(admittedFraction(*shares, "only"), 1);
}

TEST(WorkspaceSharesTest, RequestsWithoutAWorkspaceCountAsOne)
{
    auto shares = startedShares({ "", "a" });
    shares->update(table({ { "", 90'000 }, { "a", 10'000 } }, 50'000, 50'000), s_start);
    EXPECT_LT(admittedFraction(*shares, ""), 0.5);
    EXPECT_DOUBLE_EQ(admittedFraction(*shares, "a"), 1);
}

TEST(WorkspaceSharesTest, WeightsScaleShares)
{
    auto weightOf = [](uint32_t workspace) { return workspace == shortHash("heavy") ? 3.0 : 1.0; };
    auto shares = startedShares({ "heavy", "light" }, weightOf);
    shares->update(table({ { "heavy", 100'000 }, { "light", 100'000 } }, 80'000, 120'000), s_start);
    EXPECT_NEAR(admittedFraction(*shares, "heavy") / admittedFraction(*shares, "light"), 3, 1e-6);
}

// Guards against routers that act in step, and against a fraction that is only met in the long run.
TEST(WorkspaceSharesTest, TheAdmittedFractionIsMetByFewRequestsOfManyRouters)
{
    constexpr int routers = 85;
    constexpr int requestsPerRouter = 3;
    int admitted = 0;
    int firstAdmitted = 0;
    double fraction = 0;
    for (int router = 0; router < routers; ++router) {
        auto shares = startedShares({ "hot", "a" }, {}, "r" + std::to_string(router));
        shares->update(table({ { "hot", 90'000 }, { "a", 10'000 } }, 40'000, 60'000), s_start);
        fraction = admittedFraction(*shares, "hot");
        for (int request = 0; request < requestsPerRouter; ++request) {
            bool isAdmitted = !shares->isOverShare(s_serviceHash, shortHash("hot"), 0, s_start);
            admitted += isAdmitted;
            firstAdmitted += isAdmitted && request == 0;
        }
    }
    EXPECT_NEAR(admitted, fraction * routers * requestsPerRouter, 0.05 * routers * requestsPerRouter);
    EXPECT_NEAR(firstAdmitted, fraction * routers, 0.15 * routers);
}

// Guards against limits that outlive the knowledge they are based on, and against limits from the first requests.
TEST(WorkspaceSharesTest, NothingIsLimitedWithoutRecentKnowledge)
{
    auto demands = table({ { "hot", 90'000 }, { "a", 10'000 } }, 40'000, 60'000);
    auto shares = startedShares({ "hot", "a" });
    shares->update(demands, s_start);
    auto fractionAt = [&](auto now) { return shares->admittedFraction(s_serviceHash, shortHash("hot"), 0, now); };
    EXPECT_LT(fractionAt(s_start + 2900ms), 1);
    EXPECT_DOUBLE_EQ(fractionAt(s_start + 3s), 1);
    WorkspaceShares started("r1");
    started.recordDemand(work("hot", 300), s_start - 1s);
    started.update(demands, s_start);
    EXPECT_DOUBLE_EQ(admittedFraction(started, "hot"), 1);
}

// Guards against a start from zero: without a floor, a rank whose work was all refused would admit nothing again.
TEST(WorkspaceSharesTest, ARankWithoutAdmittedWorkStillAdmitsSome)
{
    auto shares = startedShares({ "hot", "a" });
    shares->update(table({ { "hot", 90'000 }, { "a", 10'000 } }, 0, 100'000), s_start);
    EXPECT_GT(admittedFraction(*shares, "hot"), 0);
    int admitted = 0;
    for (int request = 0; request < 1000; ++request)
        admitted += !shares->isOverShare(s_serviceHash, shortHash("hot"), 0, s_start);
    EXPECT_GT(admitted, 0);
}

// Guards against a division by the admitted work alone, which shrinks with each limit and never grows.
TEST(WorkspaceSharesTest, TheDividedCapacityGrowsUntilWorkWithinSharesIsRefused)
{
    EXPECT_GT((RankWork { 1000, 0, 500 }.capacityToDivide()), 1000);
    EXPECT_DOUBLE_EQ((RankWork { 1000, 10, 500 }.capacityToDivide()), 1000);
    EXPECT_LT((RankWork { 1000, 100, 0 }.capacityToDivide()), 1000);
    EXPECT_FALSE((RankWork { 1000, 5, 0 }.isShort()));
    EXPECT_TRUE((RankWork { 1000, 0, 50 }.isShort()));
    EXPECT_FALSE((RankWork {}.isShort()));
}

TEST(WorkspaceSharesTest, RecordedWorkDecaysAndWithdrawnWorkIsNeverNegative)
{
    WorkspaceShares shares("r1");
    shares.recordDemand(work("a", 3000), s_start);
    shares.recordAdmitted(work("a", 3000), s_start);
    EXPECT_EQ((shares.ownDemands(s_start).rows[{ s_serviceHash, shortHash("a"), 0 }]), 1000U);
    shares.withdrawAdmitted(work("a", 4000), s_start);
    shares.recordRefused(work("a", 6000), s_start);
    auto rows = shares.ownDemands(s_start + 3s).rows;
    EXPECT_EQ(rows.size(), 2U);
    EXPECT_NEAR((rows[{ s_serviceHash, shortHash("a"), 0 }]), 368, 1);
    EXPECT_TRUE(shares.ownDemands(s_start + 60s).rows.empty()) << "decayed rows are dropped";
    EXPECT_EQ(demandTokens({ 11'992, 48, {}, 3 }), 11'992U + 480U);
}

// Guards against refusals of an over-share workspace that count as a lack of capacity: shares would shrink.
TEST(WorkspaceSharesTest, RefusalsAreCountedByWhetherTheWorkspaceIsOverItsShare)
{
    auto shares = startedShares({ "hot", "a" });
    shares->update(table({ { "hot", 90'000 }, { "a", 10'000 } }, 40'000, 60'000), s_start);
    shares->recordRefused(work("hot", 30'000), s_start);
    shares->recordRefused(work("a", 15'000), s_start);
    auto rows = shares->ownDemands(s_start).rows;
    EXPECT_EQ((rows[{ s_serviceHash, static_cast<uint32_t>(RowKind::Limited), 0 }]), 10'000U);
    EXPECT_EQ((rows[{ s_serviceHash, static_cast<uint32_t>(RowKind::Refused), 0 }]), 5'000U);
}

// Guards against a table that grows with the number of workspaces, and against lost work in a bounded one.
TEST(WorkspaceSharesTest, SmallRowsAreFoldedWithoutLosingWork)
{
    std::map<std::string, uint64_t> requested;
    for (uint64_t index = 0; index < 4300; ++index)
        requested["w" + std::to_string(index)] = 100 + index;
    auto all = table(requested, 500, 600);
    auto folded = foldSmallRows(all, 128);
    EXPECT_EQ(folded.rows.size(), 128U + 3U);
    auto sum = [](const auto& demands) {
        return std::accumulate(demands.rows.begin(), demands.rows.end(), uint64_t { 0 },
            [](auto sum, const auto& row) { return sum + row.second; });
    };
    EXPECT_EQ(sum(folded), sum(all));
    EXPECT_TRUE(folded.rows.contains({ s_serviceHash, shortHash("w4299"), 0 }));
    EXPECT_EQ(foldSmallRows(folded, 128), folded);
}

// Guards against an advantage of workspaces without a row: they would take what listed ones of their size are refused.
TEST(WorkspaceSharesTest, FoldedWorkspacesAreLimitedLikeTheSmallestListedOne)
{
    std::map<std::string, uint64_t> requested;
    for (int index = 0; index < 1000; ++index)
        requested["w" + std::to_string(index)] = 1000;
    auto demands = foldSmallRows(table(requested, 500'000, 500'000), 128);
    auto shares = startedShares({ "w1" });
    shares->update(demands, s_start);
    for (const auto& [name, tokens] : requested)
        EXPECT_NEAR(admittedFraction(*shares, name), 0.49, 0.01) << name;
}

// Guards against a flood of lines from a limit that comes and goes with each estimate.
TEST(WorkspaceSharesTest, AChangeIsReportedOnceAndEndsAfterADelay)
{
    auto shares = startedShares({ "hot", "a" });
    auto demands = table({ { "hot", 90'000 }, { "a", 10'000 } }, 40'000, 60'000);
    for (int step = 0; step < 5; ++step)
        shares->update(demands, s_start + step * 500ms);
    auto changes = shares->takeChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].workspace, "hot");
    EXPECT_EQ(changes[0].service, s_service);
    EXPECT_TRUE(changes[0].isLimited);
    shares->update(table({}, 40'000, 0), s_start + 4s);
    EXPECT_TRUE(shares->takeChanges().empty());
    shares->update(table({}, 40'000, 0), s_start + 8s);
    changes = shares->takeChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_FALSE(changes[0].isLimited);
    EXPECT_EQ(changes[0].workspace, "hot");
}

} // namespace Brassladder::RouteServing::Routing
