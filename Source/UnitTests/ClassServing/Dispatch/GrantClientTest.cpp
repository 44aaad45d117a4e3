// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Dispatch/GrantClient.h"
#include "UnitTests/TestRuntime.h"

#include <gtest/gtest.h>

namespace Brassladder::ClassServing::Dispatch {

using namespace std::chrono_literals;
using Inner::Wire::Item;

namespace {

// A client whose messages are recorded. The test sets its view.
class GrantClientTest : public testing::Test {
protected:
    GrantClientTest()
        : m_client({ [this](const std::string& peer, const Item& item) { recordSent(peer, item); },
            [this] { return m_view.load(); }, [this](const std::string&) { ++m_unresponsiveReports; } })
    {
        auto requestClass = std::make_shared<Config::RequestClass>();
        requestClass->policy.name = "urgent";
        requestClass->policy.maxWait = 20s;
        m_request.requestClass = requestClass;
        m_request.shard = { "language", 0 };
        m_request.arrivedAt = Common::now();
        setRouters({ "r1" });
    }

    void setRouters(std::vector<std::string> routers)
    {
        auto view = std::make_shared<Membership::View>();
        view->routers = std::move(routers);
        m_view.store(view);
    }

    void recordSent(const std::string& peer, const Item& item)
    {
        std::function<void()> then;
        {
            std::lock_guard lock(m_mutex);
            m_sent.emplace_back(peer, item);
            if (item.has_reset())
                then = std::exchange(m_onReset, nullptr);
        }
        if (then)
            then();
    }

    std::vector<std::pair<std::string, Item>> sent()
    {
        std::lock_guard lock(m_mutex);
        return m_sent;
    }

    std::future<Common::Result<Slot>> acquire()
    {
        return std::async(std::launch::async,
            [this] { return testRuntime().call([this] { return m_client.acquire(m_request, m_signal); }); });
    }

    void awaitSent(size_t count)
    {
        while (sent().size() < count)
            std::this_thread::sleep_for(1ms);
    }

    static Inner::Wire::Grant grantOf(uint64_t sequence)
    {
        Inner::Wire::Grant grant;
        grant.set_sequence(sequence);
        grant.set_worker("w1");
        return grant;
    }

    std::mutex m_mutex;
    std::vector<std::pair<std::string, Item>> m_sent;
    std::function<void()> m_onReset;
    std::atomic<int> m_unresponsiveReports { 0 };
    Common::RcuCell<Membership::View> m_view { std::make_shared<Membership::View>() };
    SlotRequest m_request;
    std::shared_ptr<RequestSignal> m_signal { std::make_shared<RequestSignal>() };
    GrantClient m_client;
};

} // namespace

// The confirmation that a request is queued may arrive during the timeout for the first response of its home.
TEST_F(GrantClientTest, QueuedRequestKeepsWaitingForALateGrant)
{
    auto slot = acquire();
    awaitSent(1);
    Inner::Wire::Queued queued;
    queued.set_sequence(1);
    m_client.onQueued(queued);
    EXPECT_EQ(slot.wait_for(700ms), std::future_status::timeout);
    m_client.onGrant("r1", grantOf(1));
    EXPECT_FALSE(isError(slot.get()));
}

TEST_F(GrantClientTest, UnresponsiveHomeIsReportedAndTheNextHomeReceivesTheRequest)
{
    auto slot = acquire();
    while (!m_unresponsiveReports)
        std::this_thread::sleep_for(1ms);
    setRouters({ "r2" });
    m_client.onViewChanged(*m_view.load());
    auto items = sent();
    ASSERT_EQ(items.size(), 4u);
    EXPECT_EQ(items[1].first, "r2");
    EXPECT_TRUE(items[1].second.has_reset());
    EXPECT_EQ(items[2].first, "r1");
    EXPECT_TRUE(items[2].second.has_release());
    EXPECT_EQ(items[3].first, "r2");
    EXPECT_TRUE(items[3].second.has_ask());
    m_client.onGrant("r1", grantOf(1));
    EXPECT_EQ(slot.wait_for(50ms), std::future_status::timeout) << "the grant of a previous home must be ignored";
    m_client.onGrant("r2", grantOf(1));
    EXPECT_FALSE(isError(slot.get()));
}

TEST_F(GrantClientTest, CancelledRequestStopsWaiting)
{
    auto slot = acquire();
    awaitSent(1);
    m_signal->cancel();
    auto result = slot.get();
    ASSERT_TRUE(isError(result));
    EXPECT_EQ(errorOf(result).kind, Common::ErrorKind::CallerGone);
    EXPECT_TRUE(sent().back().second.has_release());
}

// The time read for a message may precede the arrival of its request. A negative waiting time would wrap to weeks.
TEST_F(GrantClientTest, WaitedTimeIsNeverNegative)
{
    m_request.arrivedAt = Common::now() + 1h;
    auto slot = acquire();
    awaitSent(1);
    EXPECT_EQ(sent().front().second.ask().waited_ms(), 0u);
    m_signal->cancel();
    slot.wait();
}

// The home grants the slot and preempts the request before the fiber of the request has run.
TEST_F(GrantClientTest, PreemptionBeforeTheAttemptStartsIsDelivered)
{
    auto slot = acquire();
    awaitSent(1);
    m_client.onGrant("r1", grantOf(1));
    Inner::Wire::Preemption preemption;
    preemption.set_sequence(1);
    m_client.onPreemption("r1", preemption);
    ASSERT_FALSE(isError(slot.get()));
    bool notified = false;
    m_signal->setOnPreempt([&] { notified = true; });
    EXPECT_TRUE(notified) << "the preemption was lost";
}

// The release must be the last message for a request. If an ask followed, the home would grant a slot that is never
// released. Here the caller disconnects while the client resends all requests to a home.
TEST_F(GrantClientTest, NoAskIsSentAfterTheReleaseOfARequest)
{
    auto slot = acquire();
    awaitSent(1);
    m_onReset = [&] {
        m_signal->cancel();
        slot.wait_for(200ms); // The other thread may have to wait for this one.
    };
    m_client.onConnected("r1");
    slot.wait();
    bool released = false;
    bool askedAfterRelease = false;
    for (const auto& [peer, item] : sent()) {
        released = released || item.has_release();
        askedAfterRelease = askedAfterRelease || (released && item.has_ask());
    }
    EXPECT_TRUE(released);
    EXPECT_FALSE(askedAfterRelease);
}

} // namespace Brassladder::ClassServing::Dispatch
