// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/OutstandingRequests.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

static constexpr Common::TimePoint s_now(1h);

// If the round trip is longer than the exchange interval, each response arrives after the next request.
TEST(OutstandingRequestsTest, AResponseIsAcceptedAfterLaterRequests)
{
    OutstandingRequests requests;
    requests.setTarget("h1", false);
    auto first = requests.add("h1", false, s_now);
    auto second = requests.add("h1", false, s_now + 100ms);
    auto third = requests.add("h1", false, s_now + 200ms);
    ASSERT_TRUE(first && second && third);
    EXPECT_EQ(requests.complete("h1", *second), s_now + 100ms);
    EXPECT_FALSE(requests.complete("h1", *second)) << "the response was already taken";
    EXPECT_FALSE(requests.complete("h1", *first)) << "the later response covers the earlier request";
    EXPECT_FALSE(requests.complete("h2", *third)) << "nothing was requested from it";
    EXPECT_EQ(requests.complete("h1", *third), s_now + 200ms);
    EXPECT_FALSE(requests.complete("h1", 0)) << "number 0 belongs to no request";
}

TEST(OutstandingRequestsTest, ATargetIsOverdueWhenItsFirstResponseIsLate)
{
    OutstandingRequests requests;
    requests.setTarget("h1", false);
    EXPECT_FALSE(requests.isOverdue(s_now)) << "nothing was requested yet";
    EXPECT_FALSE(requests.untilOverdue(s_now));
    requests.add("h1", false, s_now);
    requests.add("h1", false, s_now + 400ms);
    EXPECT_FALSE(requests.isOverdue(s_now + 499ms));
    EXPECT_EQ(requests.untilOverdue(s_now + 499ms), 1ms);
    EXPECT_TRUE(requests.isOverdue(s_now + 500ms));
    requests.setTarget("h1", false);
    EXPECT_TRUE(requests.isOverdue(s_now + 500ms)) << "setting the same target keeps its requests";
    requests.setTarget("h2", false);
    EXPECT_FALSE(requests.isOverdue(s_now + 500ms));
}

// Another thread may change the target after a request was prepared for it.
TEST(OutstandingRequestsTest, ARequestThatWasPreparedForAnotherTargetIsNotRecorded)
{
    OutstandingRequests requests;
    requests.setTarget("h1", false);
    requests.setTarget("", false); // This router reads the store itself now.
    EXPECT_FALSE(requests.add("h1", false, s_now));
    requests.setTarget("h1", true);
    EXPECT_FALSE(requests.add("h1", false, s_now)) << "the router sends as a hub now";
    EXPECT_FALSE(requests.add("h2", true, s_now));
    EXPECT_FALSE(requests.isOverdue(s_now + 500ms)) << "nothing was recorded";
    EXPECT_TRUE(requests.add("h1", true, s_now));
    EXPECT_TRUE(requests.isOverdue(s_now + 500ms));
}

TEST(OutstandingRequestsTest, AVersionInFlightIsNotSentAgain)
{
    LastSentVersion sent(500ms);
    EXPECT_TRUE(sent.beginSend(0, s_now));
    EXPECT_TRUE(sent.beginSend(7, s_now)) << "another version is sent at once";
    EXPECT_FALSE(sent.beginSend(7, s_now + 499ms));
    EXPECT_TRUE(sent.beginSend(7, s_now + 500ms)) << "the first copy counts as lost";
    EXPECT_FALSE(sent.beginSend(7, s_now + 501ms)) << "the second copy is in flight";
    sent.forget();
    EXPECT_TRUE(sent.beginSend(7, s_now + 502ms)) << "the copy in flight is lost";
}

} // namespace Brassladder::RouteServing::Routing
