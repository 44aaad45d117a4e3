// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/EngineCost.h"

#include <gtest/gtest.h>
#include <random>

namespace Brassladder::RouteServing::Routing {

namespace {

constexpr unsigned s_batch = 12;
// Of the average engine: 66 prompt tokens per millisecond, 4 ms per step.
constexpr ServicePace s_pace { 1.0 / 66, 4 };

EngineState engine(double running, double prefillTokens, double slowdown = 1)
{
    EngineState state;
    state.running = running;
    state.prefillTokens = prefillTokens;
    state.slowdown = slowdown;
    return state;
}

// A record of 12,000 prompt tokens and 384 output tokens.
Prompt record() { return { 11'992, 1536, { { 1, 5382 }, { 2, 6610 } }, 384 }; }

} // namespace

TEST(EngineCostTest, TheCostIsTheExpectedDelayInMilliseconds)
{
    struct Case {
        const char* name;
        EngineState engine;
        ExpectedPrefill prefill;
        double milliseconds;
    };
    EngineCost cost(record(), s_pace, s_batch);
    // 384 tokens of 4 ms in one of 12 slots.
    static constexpr double decode = 384 * 4.0 / 12;
    for (const auto& each : std::vector<Case> { { "its own prefill", engine(0, 0), { 6600, 0, 1 }, 100 + decode },
             { "queued prefill", engine(0, 13'200), { 6600, 0, 1 }, 300 + decode },
             { "running generations", engine(11, 0), { 6600, 0, 1 }, 100 + 5 + decode },
             { "a slow engine", engine(11, 13'200, 2), { 6600, 0, 1 }, 2 * (300 + 5 + decode) },
             { "a repeated prefix, whose eviction costs the same at all engines", engine(0, 0, 2), { 6600, 3300, 3 },
                 2 * (100 + decode) + 100 },
             { "a full batch, where each slot becomes free after 1,636 ms", engine(12, 0), { 6600, 0, 1 },
                 100 + 12 * 30 / 66.0 + decode + 1636.0 / 12 },
             { "a full batch and two that wait", engine(14, 0), { 6600, 0, 1 },
                 100 + 14 * 30 / 66.0 + decode + 3 * 1636.0 / 12 } })
        EXPECT_NEAR(cost.ofPrefillHeavy(each.engine, each.prefill), each.milliseconds, 0.001) << each.name;
    auto outlier = engine(0, 0);
    outlier.isOutlier = true;
    EXPECT_NEAR(cost.ofPrefillHeavy(outlier, { 6600, 0, 1 }), 5 * 100 + decode, 0.001);
}

// Guards against a slot wait that is too short for a short response, which waits behind long ones.
TEST(EngineCostTest, AShortResponseWaitsForTheSlotOfALongerOne)
{
    EngineCost cost({ 2368, 24, {} }, s_pace, s_batch);
    EXPECT_NEAR(
        cost.ofPrefillHeavy(engine(12, 0), { 0, 0, 1 }), 12 * 30 / 66.0 + 24 * 4 / 12.0 + 128 * 4 / 12.0, 0.001);
}

TEST(EngineCostTest, OnlyAKnownBatchCanBeFull)
{
    EXPECT_FALSE(EngineCost(record(), s_pace, s_batch).isFull(engine(11, 0)));
    EXPECT_TRUE(EngineCost(record(), s_pace, s_batch).isFull(engine(12, 0)));
    EXPECT_FALSE(EngineCost(record(), s_pace, 0).isFull(engine(1000, 0)));
}

// Guards against a change in the placement of deployments whose engines are equal and not full.
TEST(EngineCostTest, EqualEnginesWithRoomAreOrderedByTokens)
{
    std::mt19937_64 random(11);
    auto upTo = [&](double limit) { return std::uniform_real_distribution<double>(0, limit)(random); };
    for (const auto& pace : { ServicePace {}, s_pace, ServicePace { 0.02, 0 } }) {
        EngineCost cost(record(), pace, s_batch);
        for (int round = 0; round < 2000; ++round) {
            auto a = engine(std::floor(upTo(s_batch)), upTo(80'000));
            auto b = engine(std::floor(upTo(s_batch)), upTo(80'000));
            a.isOutlier = upTo(1) < 0.2;
            b.isOutlier = upTo(1) < 0.2;
            ExpectedPrefill prefillA { 6610, 0, 1 };
            ExpectedPrefill prefillB { 11'992, 5382, 10 };
            auto tokens = [](const EngineState& state, const ExpectedPrefill& prefill) {
                double sum = prefill.tokens + prefill.repeatedTokens * (prefill.repeatedFactor - 1)
                    + state.prefillTokens + 30 * state.running;
                return state.isOutlier ? 5 * sum : sum;
            };
            EXPECT_EQ(cost.ofPrefillHeavy(a, prefillA) < cost.ofPrefillHeavy(b, prefillB),
                tokens(a, prefillA) < tokens(b, prefillB));
            EXPECT_EQ(EngineCost::ofDecodeHeavy(a) <= EngineCost::ofDecodeHeavy(b), a.running <= b.running);
        }
    }
}

} // namespace Brassladder::RouteServing::Routing
