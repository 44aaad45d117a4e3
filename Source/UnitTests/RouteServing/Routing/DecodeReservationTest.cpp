// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/DecodeReservation.h"

#include <gtest/gtest.h>
#include <numeric>
#include <random>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);
constexpr unsigned s_batch = 12;

// `generations` in total, at engines of these slowdowns. Their order is that of the list.
ReservedEngines reserve(std::span<const double> slowdowns, double generations)
{
    std::vector<EngineState> engines(slowdowns.size());
    for (size_t index = 0; index < engines.size(); ++index) {
        engines[index].slowdown = slowdowns[index];
        engines[index].decodeHeavy = generations / static_cast<double>(engines.size());
    }
    std::vector<size_t> order(engines.size());
    std::iota(order.begin(), order.end(), 0);
    return DecodeReservation().reserve(engines, order, s_batch, 1, s_now);
}

} // namespace

// Guards against a reservation of fast engines that is larger, and one of slow engines that is smaller, than the load
// requires.
TEST(DecodeReservationTest, EnginesCountByTheirSpeed)
{
    struct Case {
        const char* name;
        std::vector<double> slowdowns;
        double generations;
        size_t forDecodeHeavy;
        size_t withoutPrefillHeavy;
    };
    // Half-full batches of 12 with 25% headroom: 14 generations take three engines.
    for (const auto& each :
        std::vector<Case> { { "equal engines", std::vector<double>(10, 1), 14, 3, 3 },
            { "nearly equal engines", { 1.1, 0.95, 1.1, 0.9, 1, 1, 1, 1, 1, 1 }, 14, 3, 3 },
            { "the first is twice as fast", { 0.5, 1, 1, 1, 1, 1, 1, 1, 1, 1 }, 14, 2, 2 },
            { "the first two are half as fast", { 2, 2, 1, 1, 1, 1, 1, 1, 1, 1 }, 14, 4, 4 },
            { "a fast engine beyond the half of the speed", { 1, 0.25, 1, 1 }, 9, 1, 1 },
            { "one of two has most of the speed", { 4, 0.25 }, 3, 1, 1 },
            { "the first has more than half of the speed but too few slots", { 0.125, 1, 1, 1, 1, 1, 1, 1 }, 20, 2, 0 },
            { "more generations than slots", std::vector<double>(4, 1), 100, 4, 2 }, { "none", {}, 0, 0, 0 } }) {
        auto reserved = reserve(each.slowdowns, each.generations);
        EXPECT_EQ(reserved.forDecodeHeavy, each.forDecodeHeavy) << each.name;
        EXPECT_EQ(reserved.withoutPrefillHeavy, each.withoutPrefillHeavy) << each.name;
    }
}

// Guards against a group of prefill-heavy generations that is empty or has only the slowest engines.
TEST(DecodeReservationTest, PrefillHeavyWorkKeepsHalfOfTheSpeed)
{
    std::mt19937_64 random(3);
    for (int round = 0; round < 2000; ++round) {
        std::vector<double> slowdowns(1 + random() % 20);
        double all = 0;
        double withoutPrefillHeavy = 0;
        for (auto& slowdown : slowdowns) {
            slowdown = 1 / (0.25 * static_cast<double>(1 + random() % 32));
            all += 1 / slowdown;
        }
        auto reserved = reserve(slowdowns, static_cast<double>(random() % 300));
        ASSERT_LT(reserved.withoutPrefillHeavy, slowdowns.size());
        for (size_t index = 0; index < reserved.withoutPrefillHeavy; ++index)
            withoutPrefillHeavy += 1 / slowdowns[index];
        EXPECT_LE(withoutPrefillHeavy, all / 2);
    }
}

} // namespace Brassladder::RouteServing::Routing
