// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/OutstandingRequests.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;

static constexpr Common::TimePoint s_now(1h);

// With a way that is longer than the pause between asks, each answer came after the next ask.
TEST(OutstandingRequestsTest, AnAnswerCountsAlsoAfterLaterAsks)
{
    OutstandingRequests asks;
    asks.setTarget("h1", false);
    auto first = asks.add(s_now);
    auto second = asks.add(s_now + 100ms);
    auto third = asks.add(s_now + 200ms);
    EXPECT_EQ(asks.take("h1", second), s_now + 100ms);
    EXPECT_FALSE(asks.take("h1", second)) << "once";
    EXPECT_FALSE(asks.take("h1", first)) << "the later answer told more";
    EXPECT_FALSE(asks.take("h2", third)) << "it was not asked";
    EXPECT_EQ(asks.take("h1", third), s_now + 200ms);
    EXPECT_FALSE(asks.take("h1", 0)) << "news answers no ask";
}

TEST(OutstandingRequestsTest, ASourceIsSilentWhenItsFirstAnswerIsLate)
{
    OutstandingRequests asks;
    asks.setTarget("h1", false);
    EXPECT_FALSE(asks.isOverdue(s_now)) << "it was not asked yet";
    asks.add(s_now);
    asks.add(s_now + 400ms);
    EXPECT_FALSE(asks.isOverdue(s_now + 499ms));
    EXPECT_TRUE(asks.isOverdue(s_now + 500ms));
    asks.setTarget("h1", false);
    EXPECT_TRUE(asks.isOverdue(s_now + 500ms)) << "the same one";
    asks.setTarget("h2", false);
    EXPECT_FALSE(asks.isOverdue(s_now + 500ms));
}

TEST(OutstandingRequestsTest, WhatMayBeUnderWayIsNotSentAgain)
{
    LastSentVersion sent;
    EXPECT_FALSE(sent.isInFlight(0, s_now));
    sent.note(7, s_now);
    EXPECT_TRUE(sent.isInFlight(7, s_now + 499ms));
    EXPECT_FALSE(sent.isInFlight(8, s_now));
    EXPECT_FALSE(sent.isInFlight(7, s_now + 500ms));
}

} // namespace Brassladder::RouteServing::Gateway
