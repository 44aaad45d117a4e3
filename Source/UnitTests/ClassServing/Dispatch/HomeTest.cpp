// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Dispatch/Home.h"
#include "UnitTests/TestRuntime.h"

#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace Brassladder::ClassServing::Dispatch {

using namespace std::chrono_literals;
using Inner::Wire::Item;

namespace {

// A home whose messages are recorded. The test sets its view and table.
class HomeTest : public testing::Test {
protected:
    HomeTest()
        : m_home("r1",
            { [this](const std::string& peer, const Item& item) {
                 std::lock_guard lock(m_mutex);
                 m_sent.emplace_back(peer, item);
             },
                [this] { return m_view.load(); },
                [this] {
                    if (m_onTable)
                        m_onTable();
                    return m_table.load();
                } })
    {
        setView({ "e1" });
        setTable({ "urgent", "slow" }, 16);
    }

    void setView(const std::vector<std::string>& engines, std::vector<std::string> routers = { "entry", "r1" })
    {
        auto view = std::make_shared<Membership::View>();
        view->routers = std::move(routers);
        for (const auto& engine : engines)
            view->pools["language"].push_back({ engine, {}, {}, false });
        m_view.store(view);
    }

    void setTable(const std::vector<std::string>& classes, uint32_t shardSize)
    {
        auto table = std::make_shared<Config::Table>();
        Config::Pool pool;
        pool.name = "language";
        pool.slotsPerUpstream = 1;
        pool.shardSize = shardSize;
        pool.guaranteedSlots = 1;
        table->pools["language"] = pool;
        for (const auto& name : classes) {
            auto each = std::make_shared<Config::RequestClass>();
            each->policy.name = name;
            each->policy.tier = name == "urgent" ? 0 : 1;
            each->policy.maxWait = 3600s;
            each->policy.guaranteeAfter = 3600s;
            each->pool = "language";
            table->classes[name] = each;
        }
        m_table.store(table);
    }

    void ask(uint64_t sequence, const std::string& requestClass, uint32_t shard = 0)
    {
        Inner::Wire::Ask ask;
        ask.set_sequence(sequence);
        ask.set_pool("language");
        ask.set_shard(shard);
        ask.set_request_class(requestClass);
        m_home.onAsk(m_entry, ask);
    }

    void release(uint64_t sequence)
    {
        Inner::Wire::Release release;
        release.set_sequence(sequence);
        release.set_pool("language");
        m_home.onRelease(m_entry, release);
    }

    // Changes the view on another thread. Returns when that thread has finished, or after a timeout if it is blocked by
    // a lock of the calling thread.
    std::future<void> changeViewOnAnotherThread(const std::vector<std::string>& engines)
    {
        auto done = std::async(std::launch::async, [this, engines] {
            setView(engines);
            m_home.onViewChanged(*m_view.load());
        });
        done.wait_for(200ms);
        return done;
    }

    // Returns the engine that was granted to a request, or an empty string.
    std::string grantOf(uint64_t sequence)
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [peer, item] : m_sent) {
            if (item.has_grant() && item.grant().sequence() == sequence)
                return item.grant().worker();
        }
        return {};
    }

    std::function<void()> m_onTable;
    std::mutex m_mutex;
    std::vector<std::pair<std::string, Item>> m_sent;
    Inner::Mesh::Sender m_entry { "entry", 1 };
    Common::RcuCell<Membership::View> m_view { std::make_shared<Membership::View>() };
    Common::RcuCell<Config::Table> m_table { std::make_shared<Config::Table>() };
    Home m_home;
};

} // namespace

// Guards against a use after free: the policies of an idle shard are released, and the next table may destroy them.
TEST_F(HomeTest, PolicyOfAnIdleClassIsNotReadAfterTheConfigurationChanged)
{
    ask(1, "slow");
    while (grantOf(1).empty()) {
        std::this_thread::sleep_for(1ms);
        m_home.tick();
    }
    release(1);
    setTable({ "urgent", "other" }, 16);
    ask(2, "other");
    EXPECT_EQ(grantOf(2), "e1");
}

// Guards against stale upstreams if the view changes on another thread while a shard is opened.
TEST_F(HomeTest, ShardOpenedDuringAViewChangeHasTheNewUpstreams)
{
    setView({ "e1" });
    std::atomic<int> tables { 0 };
    std::future<void> other;
    // The third read of the table is in upstreamsOf, which has read the old view by then.
    m_onTable = [&] {
        if (++tables != 3)
            return;
        other = changeViewOnAnotherThread({ "e2" });
    };
    ask(9, "urgent");
    other.wait();
    release(9);
    ask(1, "urgent");
    EXPECT_EQ(grantOf(1), "e2") << "e1 is not in the current view";
}

// Changes of the configuration and of the view arrive on two threads. Guards against a stale view that is applied
// last.
TEST_F(HomeTest, LaterViewIsNotOverwrittenByAnEarlierOne)
{
    ask(1, "urgent");
    release(1);
    std::atomic<int> tables { 0 };
    std::future<void> other;
    // The second read of the table is in upstreamsOf, which has read the old view by then.
    m_onTable = [&] {
        if (++tables != 2)
            return;
        other = changeViewOnAnotherThread({ "e2" });
    };
    m_home.onViewChanged(*m_view.load());
    other.wait();
    ask(2, "urgent");
    EXPECT_EQ(grantOf(2), "e2") << "e1 is not in the current view";
}

} // namespace Brassladder::ClassServing::Dispatch
