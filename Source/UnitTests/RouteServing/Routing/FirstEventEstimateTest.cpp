// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/FirstEventEstimate.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);

// An engine with a base of 100 ms that takes `slowness` tenths of a millisecond per token.
FirstEventObservations engine(int slowness, std::initializer_list<int> tokens, Common::TimePoint now = s_now)
{
    FirstEventObservations observations;
    for (int each : tokens)
        observations.record(each, 100ms + Common::Milliseconds(slowness * each / 10), now);
    return observations;
}

} // namespace

TEST(FirstEventEstimateTest, WithoutObservationsTheDelayIsZero)
{
    EXPECT_EQ(FirstEventObservations().estimate({}, s_now).delayFor(50'000), 0ms);
}

TEST(FirstEventEstimateTest, BaseAndTimePerTokenAreEstimatedSeparately)
{
    auto estimate = engine(1, { 1000, 4000, 9000 }).estimate({}, s_now);
    EXPECT_NEAR(estimate.baseMilliseconds, 100, 1);
    EXPECT_EQ(estimate.delayFor(20'000), 2100ms);
}

// Observations with equal tokens determine no slope, and a constant would be too low for longer prompts.
TEST(FirstEventEstimateTest, ObservationsWithEqualTokensGiveAProportionalDelay)
{
    auto estimate = engine(1, { 5000, 5000, 5000 }).estimate({}, s_now);
    EXPECT_EQ(estimate.delayFor(5000), 600ms);
    EXPECT_EQ(estimate.delayFor(10'000), 1200ms);
}

TEST(FirstEventEstimateTest, AnEngineWithoutObservationsUsesThoseOfItsService)
{
    auto service = engine(1, { 1000, 4000, 9000 });
    EXPECT_EQ(FirstEventObservations().estimate(service, s_now).delayFor(20'000), 2100ms);
    auto slow = engine(5, { 1000, 4000, 9000, 1000, 4000, 9000, 1000, 4000, 9000, 1000, 4000, 9000 });
    auto mixed = slow.estimate(service, s_now).delayFor(20'000);
    EXPECT_GT(mixed, 6000ms) << "its own observations outweigh the service's";
    EXPECT_LT(mixed, 10'100ms);
}

TEST(FirstEventEstimateTest, ASlowdownOfAnEngineShowsWithinSeconds)
{
    auto observations = engine(1, { 1000, 4000, 9000, 1000, 4000, 9000 });
    for (int each : { 1000, 4000, 9000 })
        observations.record(each, 100ms + Common::Milliseconds(each), s_now + 20s);
    EXPECT_GT(observations.estimate({}, s_now + 20s).delayFor(9000), 7000ms);
}

TEST(FirstEventEstimateTest, TheDelayNeverFallsWithMoreTokens)
{
    FirstEventObservations observations;
    observations.record(1000, 900ms, s_now);
    observations.record(9000, 100ms, s_now);
    auto estimate = observations.estimate({}, s_now);
    EXPECT_GE(estimate.delayFor(9000), estimate.delayFor(1000));
}

} // namespace Brassladder::RouteServing::Routing
