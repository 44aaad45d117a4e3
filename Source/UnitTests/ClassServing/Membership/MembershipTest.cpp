// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Membership/Membership.h"

#include <gtest/gtest.h>

namespace Brassladder::ClassServing::Membership {

using namespace std::chrono_literals;

static BackingServices::Instance router(const std::string& id, bool leaving = false)
{
    return { id, "router", { "127.0.0.1", 1 }, { "127.0.0.1", 2 }, "a", leaving };
}

static std::vector<std::string> aliveRouters(const Table& table) { return table.view()->routers; }

TEST(MembershipTest, ListedRouterIsAliveAfterItsFirstMessage)
{
    TimePoint now(1h);
    Table table({ "r1", 1500ms });
    table.setInstances({ router("r1"), router("r2") }, now);
    EXPECT_EQ(aliveRouters(table), std::vector<std::string> { "r1" });
    table.recordMessage("r2", now);
    EXPECT_EQ(aliveRouters(table), (std::vector<std::string> { "r1", "r2" }));
}

TEST(MembershipTest, SilentSuspectedAndLeavingRoutersAreNotInTheView)
{
    TimePoint now(1h);
    Table table({ "r1", 1500ms });
    table.setInstances({ router("r2"), router("r3"), router("r4"), router("r5", true) }, now);
    for (const auto* id : { "r2", "r3", "r4", "r5" })
        table.recordMessage(id, now);
    table.suspect("r2", now);
    table.setRouterLeaving("r3", true, now);
    EXPECT_EQ(aliveRouters(table), (std::vector<std::string> { "r1", "r4" }));
    table.tick(now + 2s);
    EXPECT_EQ(aliveRouters(table), std::vector<std::string> { "r1" });
    table.recordMessage("r2", now + 2s);
    EXPECT_EQ(aliveRouters(table), (std::vector<std::string> { "r1", "r2" }));
}

TEST(MembershipTest, ReportedLeavingUpstreamStaysLeavingWhileTheListLags)
{
    TimePoint now(1h);
    Table table({ "r1", 1500ms });
    BackingServices::Instance engine { "e1", "language", { "127.0.0.1", 3 }, {}, "a", false };
    table.setInstances({ engine }, now);
    table.setUpstreamLeaving("e1", now);
    EXPECT_TRUE(table.view()->upstream("language", "e1")->leaving);
    table.setInstances({ engine }, now + 1s);
    EXPECT_TRUE(table.view()->upstream("language", "e1")->leaving) << "the list lags behind the report";
    table.setInstances({ engine }, now + 31s);
    EXPECT_FALSE(table.view()->upstream("language", "e1")->leaving)
        << "the report has expired, so the list applies again";
}

TEST(MembershipTest, LastRouterRemainsAHomeWhileItLeaves)
{
    Table table({ "r1", 1500ms });
    table.setSelfLeaving(TimePoint(1h));
    EXPECT_EQ(aliveRouters(table), std::vector<std::string> { "r1" });
}

namespace {

// Membership tables that send each other heartbeats in rounds of one simulated second.
class Fleet {
public:
    explicit Fleet(size_t count)
    {
        for (size_t index = 0; index < count; ++index)
            m_ids.push_back("r" + std::to_string(1000 + index));
        std::vector<BackingServices::Instance> instances;
        for (const auto& id : m_ids)
            instances.push_back(router(id));
        for (const auto& id : m_ids) {
            m_tables.push_back(std::make_unique<Table>(Table::Options { id, 1500ms }));
            m_tables.back()->setInstances(instances, m_now);
        }
    }

    void round()
    {
        m_now += 1s;
        ++m_rounds;
        for (size_t from = 0; from < m_ids.size(); ++from) {
            if (from == m_dead)
                continue;
            auto suspicions = m_tables[from]->suspicions(m_now);
            auto targets = watchersOf(m_ids, m_ids[from]);
            auto randomTargets = randomHeartbeatTargets(m_ids, m_ids[from], m_rounds * 1000);
            targets.insert(targets.end(), randomTargets.begin(), randomTargets.end());
            for (const auto& target : targets) {
                auto& table = *m_tables[static_cast<size_t>(
                    std::lower_bound(m_ids.begin(), m_ids.end(), target) - m_ids.begin())];
                table.recordMessage(m_ids[from], m_now);
                for (const auto& [id, age] : suspicions)
                    table.recordSuspicion(id, age, m_now);
            }
        }
        for (auto& table : m_tables)
            table->tick(m_now);
    }

    void setDead(size_t index) { m_dead = index; }
    // Returns how many other routers consider the router alive.
    size_t countSeenAliveBy(size_t index) const
    {
        size_t count = 0;
        for (size_t other = 0; other < m_ids.size(); ++other)
            count += other != index && m_tables[other]->isAlive(m_ids[index]);
        return count;
    }
    size_t size() const { return m_ids.size(); }
    bool allRoutersSee(size_t alive) const
    {
        for (size_t index = 0; index < m_ids.size(); ++index) {
            if (index != m_dead && m_tables[index]->view()->routers.size() != alive)
                return false;
        }
        return true;
    }

private:
    std::vector<std::string> m_ids;
    std::vector<std::unique_ptr<Table>> m_tables;
    TimePoint m_now { 1h };
    uint64_t m_rounds { 0 };
    size_t m_dead { SIZE_MAX };
};

} // namespace

// Guards the propagation of suspicions in large fleets: all routers detect a failure within eight rounds, suspect no
// other router, and detect the recovery.
TEST(MembershipTest, FailureAndRecoveryPropagateTo350Routers)
{
    for (size_t count : { 7, 30, 350 }) {
        Fleet fleet(count);
        for (int round = 0; round < 12; ++round)
            fleet.round();
        EXPECT_TRUE(fleet.allRoutersSee(count)) << count;
        fleet.setDead(count / 2);
        int rounds = 0;
        while (fleet.countSeenAliveBy(count / 2) && rounds < 30) {
            fleet.round();
            ++rounds;
        }
        EXPECT_LE(rounds, 8) << count;
        for (int round = 0; round < 10; ++round)
            fleet.round();
        EXPECT_TRUE(fleet.allRoutersSee(count - 1))
            << count << ": the failed router must stay suspected, and no other router may be";
        fleet.setDead(SIZE_MAX);
        for (int round = 0; round < 14; ++round)
            fleet.round();
        EXPECT_TRUE(fleet.allRoutersSee(count)) << count << ": the recovered router must be alive in all views";
    }
}

TEST(WatchersTest, NumberOfWatchersIsBounded)
{
    for (size_t count : { 1, 2, 7, 9, 30, 350 }) {
        std::vector<std::string> ids;
        for (size_t index = 0; index < count; ++index)
            ids.push_back("r" + std::to_string(1000 + index));
        auto watchers = watchersOf(ids, ids[count / 2]);
        EXPECT_EQ(watchers.size(), std::min(count, fullMeshRouters) - 1);
        EXPECT_EQ(std::count(watchers.begin(), watchers.end(), ids[count / 2]), 0);
    }
}

} // namespace Brassladder::ClassServing::Membership
