// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/QueueExchange.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;
using Routing::QueueKey;

namespace {

constexpr Common::TimePoint begin { 1h };
constexpr QueueKey key { 7, 1 };

struct Router {
    Routing::FleetQueues queues;
    QueueExchange exchange { queues };
};

} // namespace

// A router that is counted twice, or not at all, makes all others refuse too many or too few.
TEST(QueueExchangeTest, EveryRouterKnowsTheGenerationsOfAllRouters)
{
    Router hub;
    Router otherHub;
    Router subscriber;
    hub.queues.begin(key, { 100, 10, 0ms }, false, begin);
    otherHub.queues.begin(key, { 200, 20, 0ms }, false, begin);
    subscriber.queues.begin(key, { 400, 40, 0ms }, false, begin);

    Inner::Wire::KnowledgeAsk request;
    subscriber.exchange.addTo(request, "hub", begin);
    hub.exchange.receive("subscriber", request, begin);
    Inner::Wire::HubLoads toOther;
    toOther.set_routers(2);
    hub.exchange.addTo(toOther, begin);
    otherHub.exchange.receive("hub", toOther, begin);
    Inner::Wire::HubLoads toHub;
    toHub.set_routers(1);
    otherHub.exchange.addTo(toHub, begin);
    hub.exchange.receive("other", toHub, begin);
    Inner::Wire::Knowledge snapshot;
    snapshot.set_routers(2);
    hub.exchange.addTo(snapshot, "subscriber", begin);
    subscriber.exchange.receive("hub", snapshot, begin);

    for (auto* router : { &hub, &otherHub, &subscriber }) {
        EXPECT_EQ(router->queues.all(begin).at(key), (Routing::QueueLoad { 3, 700, 0, 70, 0 }));
        EXPECT_EQ(router->queues.otherRouters(begin), 2u);
    }
}

// A router of an earlier version sends no table. What it reports must not erase or fake anything.
TEST(QueueExchangeTest, AMissingOrMalformedTableAddsNothing)
{
    Router router;
    router.exchange.receive("old", Inner::Wire::KnowledgeAsk(), begin);
    Inner::Wire::Knowledge snapshot;
    snapshot.set_routers(9);
    router.exchange.receive("old", snapshot, begin);
    EXPECT_EQ(router.queues.otherRouters(begin), 0u);

    Inner::Wire::KnowledgeAsk malformed;
    malformed.mutable_queues()->add_services(7);
    router.exchange.receive("bad", malformed, begin);
    EXPECT_TRUE(router.queues.all(begin).empty());
}

TEST(QueueExchangeTest, LoadsBeyondTheWireFormatAreSaturated)
{
    Routing::LoadsByQueue loads { { key, { 1, uint64_t(1) << 40, 2, 3, 4 } } };
    Inner::Wire::QueueTable table;
    encodeQueues(loads, table);
    auto decoded = decodeQueues(table);
    EXPECT_EQ(decoded.at(key), (Routing::QueueLoad { 1, 0xffffffff, 2, 3, 4 }));
}

} // namespace Brassladder::RouteServing::Gateway
