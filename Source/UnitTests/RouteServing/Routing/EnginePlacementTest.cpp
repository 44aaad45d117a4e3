// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/EnginePlacement.h"

#include <gtest/gtest.h>
#include <set>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);
constexpr unsigned s_batch = 64;

std::vector<EngineState> nine()
{
    static constexpr std::array s_ids { "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9" };
    std::vector<EngineState> engines;
    engines.reserve(s_ids.size());
    for (const auto* id : s_ids)
        engines.push_back({ id, 0, 0, 0, false });
    return engines;
}

// Reads 8,000 tokens, of which 6,000 are shared, and writes 200.
Prompt reader(uint64_t subject) { return { 8000, 200, { { 1, 2000 }, { subject, 4000 }, { 999, 2000 } } }; }

// Reads 500 tokens and writes up to 900.
Prompt writer() { return { 500, 900, { { 7, 100 }, { 8, 400 } } }; }

} // namespace

TEST(EnginePlacementTest, PromptsOfOneSubjectGoToOneEngineAndSubjectsSpread)
{
    EnginePlacement placement;
    auto engines = nine();
    std::set<size_t> used;
    for (uint64_t subject = 100; subject < 200; ++subject) {
        auto pick = placement.place(reader(subject), engines, s_batch, s_now);
        EXPECT_EQ(placement.place(reader(subject), engines, s_batch, s_now)->index, pick->index);
        EXPECT_EQ(pick->prefillTokens, 2000U) << "the shared parts are kept there";
        used.insert(pick->index);
    }
    EXPECT_EQ(used.size(), engines.size());
}

TEST(EnginePlacementTest, AnotherEngineIsTakenOnceWaitingCostsMoreThanReadingAnew)
{
    EnginePlacement placement;
    auto engines = nine();
    auto home = placement.place(reader(5), engines, s_batch, s_now)->index;
    engines[home].prefillTokens = 59'900;
    EXPECT_EQ(placement.place(reader(5), engines, s_batch, s_now)->index, home);
    engines[home].prefillTokens = 60'100;
    auto other = placement.place(reader(5), engines, s_batch, s_now);
    EXPECT_NE(other->index, home);
    EXPECT_EQ(other->prefillTokens, 8000U);
}

// Found on the users' platform: beside long prompts, the pauses of long answers passed their target.
TEST(EnginePlacementTest, LongAnswersAndLongPromptsDoNotShareAnEngine)
{
    EnginePlacement placement;
    auto engines = nine();
    std::set<size_t> writers;
    std::set<size_t> readers;
    for (int index = 0; index < 20; ++index) {
        auto pick = placement.place(writer(), engines, s_batch, s_now);
        engines[pick->index].running += 1;
        engines[pick->index].decodeHeavy += 1;
        writers.insert(pick->index);
    }
    EXPECT_EQ(writers.size(), 1U) << "20 fit into half of one batch";
    for (uint64_t subject = 0; subject < 200; ++subject)
        readers.insert(placement.place(reader(subject), engines, s_batch, s_now)->index);
    EXPECT_FALSE(readers.contains(*writers.begin()));
    EXPECT_EQ(readers.size(), engines.size() - 1);
}

// Found on the users' grown platform: 80 routers that each saw a part filled one engine and left the others idle.
TEST(EnginePlacementTest, WritersOfOtherRoutersAreCountedAndSpread)
{
    EnginePlacement placement;
    auto engines = nine();
    for (auto& engine : engines)
        engine.decodeHeavy = 10;
    std::set<size_t> used;
    for (int index = 0; index < 300; ++index)
        used.insert(placement.place(writer(), engines, s_batch, s_now)->index);
    EXPECT_EQ(used.size(), 4U) << "90 writers and a quarter, 32 an engine";
}

// Found on the users' grown platform: in a burst of long answers, those on engines where prompts were read paused
// longer than their target, while those on engines of their own had room.
TEST(EnginePlacementTest, WritersFillTheirEnginesBeforeTheyGoWhereReadersAre)
{
    EnginePlacement placement;
    auto engines = nine();
    auto usedBy = [&](double writers) {
        for (auto& engine : engines)
            engine.decodeHeavy = writers / static_cast<double>(engines.size());
        std::set<size_t> used;
        for (int index = 0; index < 300; ++index)
            used.insert(placement.place(writer(), engines, s_batch, s_now)->index);
        return used.size();
    };
    EXPECT_EQ(usedBy(162), 4U) << "half of a batch would take seven engines, nine tenths take four";
    EXPECT_EQ(usedBy(270), 6U) << "more than half of the engines hold";
}

TEST(EnginePlacementTest, ReadersKeepHalfOfTheEnginesWhateverIsWritten)
{
    EnginePlacement placement;
    auto engines = nine();
    for (auto& engine : engines)
        engine.decodeHeavy = 200;
    std::set<size_t> readers;
    for (uint64_t subject = 0; subject < 300; ++subject)
        readers.insert(placement.place(reader(subject), engines, s_batch, s_now)->index);
    EXPECT_EQ(readers.size(), 5U);
}

TEST(EnginePlacementTest, AnEngineThatWritersHaveLeftIsGivenBackLater)
{
    EnginePlacement placement;
    auto engines = nine();
    auto pick = placement.place(writer(), engines, s_batch, s_now);
    auto usesIt = [&](Common::TimePoint now) {
        for (uint64_t subject = 0; subject < 300; ++subject) {
            if (placement.place(reader(subject), engines, s_batch, now)->index == pick->index)
                return true;
        }
        return false;
    };
    EXPECT_FALSE(usesIt(s_now + 2s));
    EXPECT_TRUE(usesIt(s_now + 4s));
}

TEST(EnginePlacementTest, NoEngineNoPlace) { EXPECT_FALSE(EnginePlacement().place(writer(), {}, s_batch, s_now)); }

} // namespace Brassladder::RouteServing::Routing
