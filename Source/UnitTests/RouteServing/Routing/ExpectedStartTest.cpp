// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/ExpectedStart.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::Milliseconds;

namespace {

constexpr Common::TimePoint begin { 1h };
constexpr uint32_t service = 7;

// Ten engines of four slots that prefill 50 tokens in a millisecond.
EnginePool pool() { return { 10, 4, 0, 0.02, 4 }; }

Prompt promptOf(uint32_t hint, uint32_t maximum)
{
    Prompt prompt;
    prompt.tokens = 100;
    prompt.maxOutputTokens = maximum;
    prompt.outputHint = hint;
    return prompt;
}

} // namespace

// Without a pace, any estimate would be arbitrary.
TEST(ExpectedStartTest, AnUnknownPoolGivesNoDelay)
{
    Backlog backlog { 1000, 1e6, 1000, 1e6, 0 };
    EXPECT_EQ(expectedStart({}, backlog, 100), 0ms);
    EXPECT_EQ(expectedStart({ 0, 4, 0, 0.02, 4 }, backlog, 100), 0ms);
    EXPECT_EQ(expectedStart({ 10, 4, 0, 0, 4 }, backlog, 100), 0ms);
}

TEST(ExpectedStartTest, FreeSlotsLeaveOnlyThePrefillBefore)
{
    EXPECT_EQ(expectedStart(pool(), {}, 100), 0ms);
    EXPECT_EQ(expectedStart(pool(), { 0, 0, 39, 10'000, 0 }, 100), 0ms);
    EXPECT_EQ(expectedStart(pool(), { 5, 50'000, 10, 10'000, 0 }, 100), 100ms);
}

// 40 slots: 40 generations of 100 remaining tokens take 400 ms, so the first of them ends after about 10 ms.
TEST(ExpectedStartTest, FullSlotsDelayUntilEnoughGenerationsHaveEnded)
{
    EXPECT_EQ(expectedStart(pool(), { 0, 0, 40, 4000, 0 }, 100), 10ms);
    EXPECT_GT(expectedStart(pool(), { 40, 0, 40, 12'000, 0 }, 100), 500ms);
    EXPECT_LE(expectedStart(pool(), { 40, 0, 40, 12'000, 0 }, 100), 1200ms);
    EXPECT_GT(expectedStart(pool(), { 0, 0, 40, 4000, 40 }, 100), 10ms) << "held generations go first";
    EXPECT_LE(expectedStart(pool(), { 1e300, 1e300, 1e300, 1e300, 0 }, 100), 1h) << "a wrong report";
}

// Large generations fill the memory before the slots.
TEST(ExpectedStartTest, MemoryBoundsTheGenerationsOfAnEngine)
{
    auto small = pool();
    small.kvTokens = 10'000;
    EXPECT_EQ(small.capacity(1000), 40);
    EXPECT_EQ(small.capacity(5000), 20);
    EXPECT_EQ(small.capacity(50'000), 10) << "an engine runs at least one";
}

// A generation does not wait for less urgent ones, and never begins before a more urgent one.
TEST(ExpectedStartTest, OnlySameAndMoreUrgentRanksOfTheServiceCount)
{
    LoadsByQueue loads { { { service, 0 }, { 1, 10, 2, 20, 1 } }, { { service, 2 }, { 100, 1000, 100, 2000, 0 } },
        { { service + 1, 0 }, { 5, 5, 5, 5, 5 } } };
    EXPECT_EQ(backlogOf(loads, service, 0, 1).total(), 4);
    EXPECT_EQ(backlogOf(loads, service, 1, 1).total(), 4);
    EXPECT_EQ(backlogOf(loads, service, 2, 1).total(), 204);
    EXPECT_EQ(wholeBacklogOf(loads, service, 0.5).total(), 408) << "unknown routers count like known ones";
    EXPECT_EQ(wholeBacklogOf(loads, service, 0).total(), 0);
}

TEST(ExpectedStartTest, AServiceWithoutAPaceUsesTheEstimateOfItsFirstEvents)
{
    EngineTraits traits;
    traits.batch = 12;
    traits.tokensPerEvent = 8;
    const FirstEventEstimate firstEvents { 40, 0.05 };
    auto fallback = EnginePool::of(3, traits, std::nullopt, firstEvents, 5);
    EXPECT_EQ(fallback.millisecondsPerPrefillToken, 0.05);
    EXPECT_EQ(fallback.millisecondsPerDecodedToken, 5);
    EXPECT_EQ(EnginePool::of(3, traits, std::nullopt, firstEvents, std::nullopt).millisecondsPerDecodedToken, 0);
    auto known = EnginePool::of(3, traits, ServicePace { 0.02, 4 }, firstEvents, 5);
    EXPECT_EQ(known.millisecondsPerPrefillToken, 0.02);
    EXPECT_EQ(known.millisecondsPerDecodedToken, 4);
}

TEST(DecodeTimesTest, RecentGenerationsCountMost)
{
    DecodeTimes times;
    EXPECT_FALSE(times.millisecondsPerToken("s"));
    times.record("s", 0, 100ms, begin);
    times.record("s", 1e300, 100ms, begin);
    times.record("s", 100, -1ms, begin);
    EXPECT_FALSE(times.millisecondsPerToken("s")) << "implausible values are ignored";
    times.record("s", 100, 400ms, begin);
    EXPECT_EQ(times.millisecondsPerToken("s"), 4);
    times.record("s", 100, 800ms, begin + 10s);
    EXPECT_NEAR(*times.millisecondsPerToken("s"), 1000.0 / 150, 0.01);
}

TEST(OutputEstimatesTest, WithoutAHintHalfOfTheMaximumIsExpected)
{
    OutputEstimates estimates;
    estimates.record("r", promptOf(0, 400), 400, begin);
    EXPECT_EQ(estimates.expectedTokens("r", promptOf(0, 400), begin), 200);
}

// Callers of one route may all hint too much. A single hint that is far off must not change the estimates of others.
TEST(OutputEstimatesTest, TheErrorOfARouteIsLearnedAndBounded)
{
    OutputEstimates estimates;
    auto prompt = promptOf(100, 1000);
    estimates.record("one", prompt, 1000, begin);
    EXPECT_LT(estimates.expectedTokens("one", prompt, begin), 300);
    for (int count = 0; count < 200; ++count) {
        estimates.record("half", prompt, 50, begin);
        estimates.record("many", prompt, 1000, begin);
    }
    EXPECT_NEAR(estimates.expectedTokens("half", prompt, begin), 50, 5);
    EXPECT_EQ(estimates.expectedTokens("many", prompt, begin), 400) << "bounded";
    EXPECT_EQ(estimates.expectedTokens("other", prompt, begin), 100);
    EXPECT_NEAR(estimates.expectedTokens("half", prompt, begin + 1h), 100, 1) << "errors decay";
    estimates.record("bad", prompt, -1, begin);
    estimates.record("bad", prompt, 1e300, begin);
    EXPECT_EQ(estimates.expectedTokens("bad", prompt, begin), 100);
}

} // namespace Brassladder::RouteServing::Routing
