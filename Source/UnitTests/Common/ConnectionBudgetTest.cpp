// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/ConnectionBudget.h"
#include "UnitTests/TestRuntime.h"

#include <gtest/gtest.h>
#include <thread>

// Guards against connections that together exceed what the instance has, and against the wrong ones being closed.
namespace Brassladder::Common {

using namespace std::chrono_literals;
using Stage = ConnectionStage;

namespace {

constexpr size_t base = ConnectionBudget::connectionBytes;
constexpr size_t megabyte = size_t { 1024 } * 1024;

// Never runs the interruptions.
class ConnectionBudgetTest : public testing::Test {
protected:
    std::unique_ptr<BudgetedConnection> connect(ConnectionBudget& budget, ListenerKind kind = ListenerKind::Callers)
    {
        return std::make_unique<BudgetedConnection>(
            budget, kind, m_context.get_executor(), [this] { ++m_interrupted; });
    }
    // The next connection has waited for a shorter time.
    static void pause() { std::this_thread::sleep_for(2ms); }

    boost::asio::io_context m_context;
    size_t m_interrupted { 0 };
};

} // namespace

TEST_F(ConnectionBudgetTest, WhatAConnectionHeldIsGivenBackAtItsEnd)
{
    ConnectionBudget budget({ megabyte, 100 });
    auto connection = connect(budget);
    EXPECT_TRUE(connection->enter(Stage::Body, 5 * base));
    EXPECT_EQ(budget.usage().bytes, 5 * base);
    EXPECT_EQ(budget.usage().connections, 1U);
    connection.reset();
    EXPECT_EQ(budget.usage().bytes, 0U);
    EXPECT_EQ(budget.usage().connections, 0U);
}

TEST_F(ConnectionBudgetTest, ANewCallerTakesThePlaceOfTheOneThatWaitsLongest)
{
    ConnectionBudget budget({ megabyte, 16 });
    std::vector<std::unique_ptr<BudgetedConnection>> silent;
    for (size_t index = 0; index < 15; ++index) {
        silent.push_back(connect(budget));
        pause();
    }
    auto caller = connect(budget);
    EXPECT_TRUE(caller->isAdmitted());
    EXPECT_TRUE(silent.front()->isEvicted());
    EXPECT_FALSE(silent.back()->isEvicted());
    EXPECT_EQ(budget.usage().connections, 15U);
    m_context.poll();
    EXPECT_EQ(m_interrupted, 1U);
}

TEST_F(ConnectionBudgetTest, RequestsThatAreServedAndPeersAreNeverClosed)
{
    ConnectionBudget budget({ megabyte, 16 });
    std::vector<std::unique_ptr<BudgetedConnection>> busy;
    for (size_t index = 0; index < 15; ++index) {
        busy.push_back(connect(budget));
        EXPECT_TRUE(busy.back()->enter(index % 2 ? Stage::Serving : Stage::Trusted, base));
    }
    EXPECT_FALSE(connect(budget)->isAdmitted());
    for (const auto& connection : busy)
        EXPECT_FALSE(connection->isEvicted());
    // One place is kept for the listeners on which the instance depends.
    EXPECT_TRUE(connect(budget, ListenerKind::Essential)->isAdmitted());
}

TEST_F(ConnectionBudgetTest, CallersThatRestAreClosedAfterThoseThatNeverSentARequest)
{
    ConnectionBudget budget({ megabyte, 16 });
    std::vector<std::unique_ptr<BudgetedConnection>> resting;
    for (size_t index = 0; index < 14; ++index) {
        resting.push_back(connect(budget));
        EXPECT_TRUE(resting.back()->enter(Stage::Serving, base));
        EXPECT_TRUE(resting.back()->enter(Stage::Idle, base));
    }
    pause();
    auto silent = connect(budget);
    auto caller = connect(budget);
    EXPECT_TRUE(silent->isEvicted());
    auto next = connect(budget);
    EXPECT_TRUE(caller->isEvicted());
    EXPECT_FALSE(resting.front()->isEvicted());
}

TEST_F(ConnectionBudgetTest, MemoryIsTakenFromTheBodyThatCostMost)
{
    ConnectionBudget budget({ 8 * megabyte, 100 });
    std::vector<std::unique_ptr<BudgetedConnection>> bodies;
    for (size_t index = 0; index < 7; ++index) {
        bodies.push_back(connect(budget));
        ASSERT_TRUE(bodies.back()->enter(Stage::Body, index == 3 ? megabyte : megabyte / 2));
        pause();
    }
    pause();
    auto large = connect(budget);
    EXPECT_TRUE(large->enter(Stage::Body, 3 * megabyte));
    EXPECT_TRUE(large->reserve(4 * megabyte));
    EXPECT_TRUE(bodies[3]->isEvicted());
}

// A request that needs little finds memory although large ones hold all that they may.
TEST_F(ConnectionBudgetTest, AShareOfTheMemoryIsKeptForSmallRequests)
{
    ConnectionBudget budget({ 8 * megabyte, 100 });
    auto large = connect(budget);
    ASSERT_TRUE(large->enter(Stage::Serving, 7 * megabyte));
    auto other = connect(budget);
    EXPECT_FALSE(other->enter(Stage::Body, megabyte));
    EXPECT_FALSE(other->isEvicted());
    auto small = connect(budget);
    EXPECT_TRUE(small->enter(Stage::Serving, base + ConnectionBudget::servingBytes));
}

// A response that is not read holds memory that others need; one that is being read does not lose its connection.
TEST_F(ConnectionBudgetTest, OnlyAResponseThatIsNotReadIsGivenUp)
{
    ConnectionBudget budget({ 8 * megabyte, 100 });
    auto stalled = connect(budget);
    ASSERT_TRUE(stalled->enter(Stage::Sending, 3 * megabyte));
    std::this_thread::sleep_for(1100ms);
    auto moving = connect(budget);
    ASSERT_TRUE(moving->enter(Stage::Sending, 3 * megabyte));
    auto next = connect(budget);
    EXPECT_TRUE(next->enter(Stage::Serving, 2 * megabyte));
    EXPECT_TRUE(stalled->isEvicted());
    EXPECT_FALSE(next->reserve(5 * megabyte));
    EXPECT_FALSE(moving->isEvicted());
}

// The sockets and the memory of closed connections are not free before their fibers have ended.
TEST_F(ConnectionBudgetTest, FewConnectionsAreClosedThatHaveNotEnded)
{
    ConnectionBudget budget({ 100 * megabyte, 64 });
    std::vector<std::unique_ptr<BudgetedConnection>> silent;
    size_t admitted = 0;
    for (size_t index = 0; index < 200; ++index) {
        silent.push_back(connect(budget));
        admitted += silent.back()->isAdmitted();
    }
    EXPECT_LE(admitted, 64U + 64U / 8 + 1);
    silent.clear();
    EXPECT_EQ(budget.usage().connections, 0U);
    EXPECT_TRUE(connect(budget)->isAdmitted());
}

TEST_F(ConnectionBudgetTest, TheCapacityFollowsFromTheInstance)
{
    auto capacity = ConnectionBudget::Capacity::ofInstance(110 * megabyte, 4100);
    EXPECT_EQ(capacity.bytes, 44 * megabyte);
    EXPECT_EQ(capacity.connections, 1850U);
    // Without a statement it is finite as well.
    auto ofSystem = ConnectionBudget::Capacity::ofInstance(0, 0);
    EXPECT_GT(ofSystem.bytes, 0U);
    EXPECT_GT(ofSystem.connections, 0U);
}

} // namespace Brassladder::Common
