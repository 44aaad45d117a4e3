// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/StreamOriginExchange.h"
#include "UnitTests/TestRuntime.h"

#include <gtest/gtest.h>
#include <random>

// Guards against an origin that a router makes up, and against one that is not found although routers that know it can
// be reached.
namespace Brassladder::RouteServing::Gateway {

using Inner::Wire::Item;
using Routing::StreamOrigin;
using namespace std::chrono_literals;

namespace {

// Routers whose messages arrive at once, or are lost on directions that are cut. Used in fibers of one thread.
class OriginFleet {
public:
    explicit OriginFleet(size_t routers)
    {
        for (size_t index = 0; index < routers; ++index) {
            m_ids.push_back("router" + std::to_string(index));
            m_routers.push_back(nullptr);
        }
        for (size_t index = 0; index < routers; ++index)
            restart(index);
    }

    // Replaces a router by a new process without records.
    void restart(size_t index)
    {
        m_routers[index] = std::make_shared<StreamOriginExchange>(m_ids[index], "key");
        m_routers[index]->setRouters(m_ids);
        m_routers[index]->setSend([this, index](const auto& to, const Item& item) { deliver(index, to, item); });
    }
    void setCut(size_t from, size_t to, bool isCut)
    {
        if (isCut)
            m_cut.insert({ from, to });
        else
            m_cut.erase({ from, to });
    }
    StreamOriginExchange& operator[](size_t index) { return *m_routers[index]; }
    size_t size() const { return m_routers.size(); }

private:
    void deliver(size_t from, const std::string& to, const Item& item)
    {
        auto index = static_cast<size_t>(std::find(m_ids.begin(), m_ids.end(), to) - m_ids.begin());
        if (m_cut.contains({ from, index }))
            return;
        Common::FiberRuntime::spawnOnCurrentThread(
            [router = m_routers[index], sender = m_ids[from], item] { router->receive(sender, item); });
    }

    std::vector<std::string> m_ids;
    std::vector<std::shared_ptr<StreamOriginExchange>> m_routers;
    std::set<std::pair<size_t, size_t>> m_cut;
};

StreamOriginExchange::StreamName nameOf(const std::string& attempt) { return { "workspace", "route", attempt }; }

} // namespace

TEST(StreamOriginExchangeTest, EveryRouterFindsAnOriginAfterTheLossOfItsRelay)
{
    testRuntime().call([] {
        OriginFleet fleet(7);
        for (size_t stream = 0; stream < 50; ++stream) {
            auto attempt = "a" + std::to_string(stream);
            StreamOrigin origin { "model", stream % 2 ? "v1" : "v2" };
            auto relay = stream % fleet.size();
            fleet[relay].publish(nameOf(attempt), origin, 10s);
            Common::sleepFor(1ms);
            fleet.restart(relay);
            for (size_t asker = 0; asker < fleet.size(); ++asker)
                EXPECT_EQ(fleet[asker].find(nameOf(attempt), Common::now() + 1s), origin);
        }
        return true;
    });
}

TEST(StreamOriginExchangeTest, RecordsOutliveARestartOfAllRoutersInTurn)
{
    testRuntime().call([] {
        OriginFleet fleet(7);
        StreamOrigin origin { "model", "v1" };
        fleet[0].publish(nameOf("a"), origin, 10s);
        for (size_t router = 0; router < fleet.size(); ++router) {
            Common::sleepFor(1ms);
            fleet[router].handOver();
            Common::sleepFor(1ms);
            fleet.restart(router);
        }
        for (size_t asker = 0; asker < fleet.size(); ++asker)
            EXPECT_EQ(fleet[asker].find(nameOf("a"), Common::now() + 1s), origin);
        return true;
    });
}

TEST(StreamOriginExchangeTest, AnotherWorkspaceRouteOrAttemptFindsNothing)
{
    testRuntime().call([] {
        OriginFleet fleet(3);
        fleet[0].publish(nameOf("a"), { "model", "v1" }, 10s);
        Common::sleepFor(1ms);
        for (size_t asker = 0; asker < fleet.size(); ++asker) {
            EXPECT_FALSE(fleet[asker].find({ "other", "route", "a" }, Common::now() + 1s));
            EXPECT_FALSE(fleet[asker].find({ "workspace", "other", "a" }, Common::now() + 1s));
            EXPECT_FALSE(fleet[asker].find(nameOf("b"), Common::now() + 1s));
        }
        return true;
    });
}

TEST(StreamOriginExchangeTest, RoutersThatDoNotAnswerDelayTheAnswerBriefly)
{
    testRuntime().call([] {
        OriginFleet fleet(5);
        for (size_t router = 1; router < fleet.size(); ++router)
            fleet.setCut(router, 0, true);
        auto started = Common::now();
        EXPECT_FALSE(fleet[0].find(nameOf("a"), Common::now() + 10s));
        EXPECT_LT(Common::now() - started, 5s);
        return true;
    });
}

// Under cuts in one direction, restarts and lost messages an origin may be unknown, but it is never a wrong one.
TEST(StreamOriginExchangeTest, UnderCutsAndRestartsAnOriginIsUnknownRatherThanWrong)
{
    testRuntime().call([] {
        std::mt19937_64 random(64);
        OriginFleet fleet(6);
        std::map<std::string, StreamOrigin> published;
        size_t found = 0;
        for (size_t step = 0; step < 600; ++step) {
            auto router = random() % fleet.size();
            auto attempt = "a" + std::to_string(random() % (published.size() + 1));
            switch (random() % 12) {
            case 0:
                fleet.restart(router);
                break;
            case 1:
                fleet.setCut(router, random() % fleet.size(), random() % 3 == 0);
                break;
            case 2:
            case 3:
            case 4: {
                auto name = "a" + std::to_string(published.size());
                StreamOrigin origin { "model", "v" + std::to_string(random() % 3) };
                published[name] = origin;
                fleet[router].publish(nameOf(name), origin, 10s);
                break;
            }
            default:
                auto origin = fleet[router].find(nameOf(attempt), Common::now() + 5ms);
                found += origin.has_value();
                if (origin) {
                    EXPECT_EQ(*origin, published.at(attempt));
                }
            }
        }
        EXPECT_GT(found, 50U);
        return true;
    });
}

} // namespace Brassladder::RouteServing::Gateway
