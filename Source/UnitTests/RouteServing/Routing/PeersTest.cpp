// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/PeerDirectory.h"
#include "RouteServing/Routing/PeerLoads.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

static constexpr Common::TimePoint s_now(1h);

TEST(PeerBackoffTest, TheBackoffDoublesUntilAResponse)
{
    PeerBackoff backoff;
    EXPECT_FALSE(backoff.isIgnored(s_now));
    auto expected = 2000ms;
    for (int timeout = 1; timeout <= 7; ++timeout) {
        backoff.recordTimeout(s_now);
        EXPECT_TRUE(backoff.isIgnored(s_now + expected - 1ms)) << timeout;
        EXPECT_FALSE(backoff.isIgnored(s_now + expected)) << timeout;
        expected = std::min(expected * 2, 32'000ms);
    }
    EXPECT_EQ(backoff.timeouts(), 7U);
    backoff.recordContact();
    EXPECT_FALSE(backoff.isIgnored(s_now)) << "the router is running";
    EXPECT_EQ(backoff.timeouts(), 7U) << "a request is not a response";
    backoff.recordResponse();
    backoff.recordTimeout(s_now);
    EXPECT_FALSE(backoff.isIgnored(s_now + 2000ms)) << "the backoff starts again from its initial value";
    backoff.recordResponse();
    backoff.recordUnavailable(s_now);
    EXPECT_TRUE(backoff.isIgnored(s_now + 1999ms));
}

TEST(PeerDirectoryTest, APeerWithANewAddressIsUsedAtOnce)
{
    PeerDirectory peers("self");
    EXPECT_FALSE(peers.addContact("self", { "127.0.0.1", 1 })) << "this router is not its own peer";
    EXPECT_TRUE(peers.addContact("p", { "127.0.0.1", 1 }));
    EXPECT_FALSE(peers.addContact("p", { "127.0.0.1", 1 }));
    peers.state("p").backoff.recordTimeout(s_now);
    EXPECT_TRUE(peers.ranking(true, s_now).otherHubs().empty()) << "an unresponsive router is no hub";
    EXPECT_TRUE(peers.addContact("p", { "127.0.0.1", 2 }));
    EXPECT_EQ(peers.ranking(true, s_now).otherHubs().size(), 1U);
}

TEST(PeerDirectoryTest, AConfigurationIsSentOnceToEachIncarnationOfAPeerAtEachAddress)
{
    PeerDirectory peers("self");
    peers.addContact("p", { "127.0.0.1", 1 });
    auto& peer = peers.state("p");
    peer.recordRequest(1, 0, s_now);
    EXPECT_TRUE(peer.configuration.beginSend(7, s_now));
    peer.recordRequest(1, 0, s_now + 20s);
    EXPECT_FALSE(peer.configuration.beginSend(7, s_now + 20s)) << "the copy may still be in flight on a slow link";
    peer.recordRequest(2, 0, s_now + 20s);
    EXPECT_TRUE(peer.configuration.beginSend(7, s_now + 20s)) << "the peer has restarted";
    EXPECT_TRUE(peers.addContact("p", { "127.0.0.1", 2 }));
    EXPECT_TRUE(peer.configuration.beginSend(7, s_now + 20s)) << "the peer has a new address";
    EXPECT_FALSE(peers.addContact("p", { "127.0.0.1", 2 }));
    EXPECT_FALSE(peer.configuration.beginSend(7, s_now + 20s));
    EXPECT_TRUE(peer.configuration.beginSend(8, s_now + 20s)) << "another version is sent at once";
}

TEST(PeerDirectoryTest, FindDoesNotAddAPeer)
{
    PeerDirectory peers("self");
    EXPECT_FALSE(peers.find("p"));
    EXPECT_TRUE(peers.peers().empty()) << "each entry counts as a router of the fleet";
    auto& state = peers.state("p");
    EXPECT_EQ(peers.find("p"), &state);
}

TEST(PeerDirectoryTest, PeersThatRequestedRecentlyAreSubscribers)
{
    PeerDirectory peers("self");
    peers.state("p").lastRequest = s_now;
    EXPECT_EQ(peers.subscribers(s_now + 1499ms), std::vector<std::string> { "p" });
    EXPECT_TRUE(peers.subscribers(s_now + 1500ms).empty());
}

// Two hubs with a subscriber each: each of the four routers counts every load once.
TEST(PeerLoadsTest, EachLoadIsCountedOnceEverywhere)
{
    auto load = [](unsigned requests) { return LoadsByUpstream { { 7, { requests, 0, 0 } } }; };
    PeerLoads hub;
    hub.recordSubscriber("subscriber", load(1), s_now);
    hub.recordHub("other", load(20), 2, s_now);
    EXPECT_EQ(hub.sumOfOthers(s_now).at(7).requests, 21U);
    EXPECT_EQ(hub.sumWithSubscribers(load(300), s_now).at(7).requests, 301U) << "for the other hub";
    EXPECT_EQ(hub.sumForSubscriber("subscriber", load(300), s_now).at(7).requests, 320U)
        << "without the subscriber's own load";
    EXPECT_EQ(hub.subscriberRouters(s_now) + hub.hubRouters(s_now), 3U);
    hub.forgetHub("other");
    EXPECT_EQ(hub.sumOfOthers(s_now).at(7).requests, 1U);
    EXPECT_TRUE(hub.sumOfOthers(s_now + 1500ms).empty()) << "the reports have expired";

    PeerLoads subscriber;
    subscriber.recordHub("hub", load(320), 3, s_now);
    EXPECT_EQ(subscriber.sumWithSubscribers(load(1), s_now, "hub").at(7).requests, 1U)
        << "a subscriber reports only its own load to its hub";
}

} // namespace Brassladder::RouteServing::Routing
