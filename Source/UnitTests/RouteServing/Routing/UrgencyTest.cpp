// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/Urgency.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

namespace {

UrgencyScale scale(std::initializer_list<std::optional<unsigned>> workspaces, std::initializer_list<unsigned> routes)
{
    UrgencyScale urgency;
    for (auto priority : workspaces)
        urgency.addWorkspace(priority);
    for (auto priority : routes)
        urgency.addRoute(priority);
    return urgency;
}

} // namespace

// All workspaces have the same priority. Guards against urgent chats that wait behind long prompts.
TEST(UrgencyTest, TheRoutesPriorityDecidesAmongWorkspacesOfOnePriority)
{
    auto urgency = scale({ 1, 1 }, { 0, 1 });
    EXPECT_LT(urgency.rank(1, 0), urgency.rank(1, 1));
}

// Each of the two generations is more urgent by one priority. Guards against preempting a chat (workspace priority 1,
// route priority 0) for a summary (0, 1).
TEST(UrgencyTest, WhereTheTwoOrdersDisagreeTheRouteDecidesAmongNeighbouringPriorities)
{
    auto urgency = scale({ 0, 1 }, { 0, 1 });
    EXPECT_LT(urgency.rank(1, 0), urgency.rank(0, 1));
    EXPECT_LT(urgency.rank(0, 0), urgency.rank(0, 1));
    EXPECT_LT(urgency.rank(1, 0), urgency.rank(1, 1));
}

// Guards against tags and questions that full engines preempt for long records of a workspace two priorities higher.
TEST(UrgencyTest, ALessUrgentRoutePreemptsOnlyForAWorkspaceFurtherUp)
{
    auto urgency = scale({ 0, 1, 2, 3 }, { 0, 1, 2 });
    for (unsigned route = 0; route < 2; ++route) {
        for (unsigned workspace = 0; workspace < 3; ++workspace)
            EXPECT_LE(urgency.rank(workspace, route), urgency.rank(0, route + 1)) << workspace << ' ' << route;
    }
    EXPECT_LT(urgency.rank(3, 0), urgency.rank(0, 2));
}

TEST(UrgencyTest, TheRankRisesWithEachOfTheTwoPriorities)
{
    auto urgency = scale({ 0, 3, std::nullopt }, { 0, 1, 7 });
    const std::vector<std::optional<unsigned>> workspaces { 0, 3, std::nullopt };
    const std::vector<unsigned> routes { 0, 1, 7 };
    for (size_t workspace = 0; workspace < 3; ++workspace) {
        for (size_t route = 0; route < 3; ++route) {
            auto rank = urgency.rank(workspaces[workspace], routes[route]);
            if (workspace) {
                EXPECT_LT(urgency.rank(workspaces[workspace - 1], routes[route]), rank);
            }
            if (route) {
                EXPECT_LT(urgency.rank(workspaces[workspace], routes[route - 1]), rank);
            }
        }
    }
}

TEST(UrgencyTest, LateGenerationsRankBetweenTheirRankAndTheNext)
{
    auto urgency = scale({ 0, 1 }, { 0, 1 });
    size_t last = 0;
    for (size_t rank = 0; rank < 3; ++rank) {
        auto onTime = urgency.level(rank, Punctuality::OnTime, 10);
        EXPECT_EQ(onTime, rank ? last + 1 : 0);
        last = urgency.level(rank, Punctuality::Late, 10);
        EXPECT_EQ(last, onTime + 1);
    }
}

TEST(UrgencyTest, WithTooFewLevelsTheLeastUrgentRanksHaveTwo)
{
    auto six = scale({ 0, 1, 2, 3 }, { 0, 1 });
    EXPECT_EQ(six.level(1, Punctuality::OnTime, 10), 1U);
    EXPECT_EQ(six.level(1, Punctuality::Late, 10), 1U);
    EXPECT_EQ(six.level(2, Punctuality::Late, 10), 3U);
    EXPECT_EQ(six.level(5, Punctuality::OnTime, 10), 8U);
    EXPECT_EQ(six.level(5, Punctuality::Late, 10), 9U);
    auto many = scale({ 0, 1, 2, 3, 4, 5, 6, 7 }, { 0, 1, 2, 3, 4, 5, 6, 7 });
    EXPECT_EQ(many.level(3, Punctuality::Late, 10), 3U);
    EXPECT_EQ(many.level(14, Punctuality::OnTime, 10), 9U) << "the last level holds the remaining ranks";
}

TEST(UrgencyTest, WithoutPrioritiesThereIsOneRank)
{
    auto urgency = scale({}, {});
    EXPECT_EQ(urgency.rank(std::nullopt, 0), 0U);
    EXPECT_EQ(urgency.level(0, Punctuality::OnTime, 10), 0U);
    EXPECT_EQ(urgency.level(0, Punctuality::Late, 10), 1U);
    EXPECT_EQ(urgency.level(0, Punctuality::Late, 1), 0U);
}

} // namespace Brassladder::RouteServing::Routing
