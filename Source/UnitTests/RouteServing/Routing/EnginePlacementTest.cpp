// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/EnginePlacement.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);
constexpr Common::TimePoint s_due = s_now + 600ms;
constexpr EngineCapabilities s_capabilities { 64, false };

std::vector<EngineState> nineEngines()
{
    static constexpr std::array s_ids { "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9" };
    std::vector<EngineState> engines;
    engines.reserve(s_ids.size());
    for (const auto* id : s_ids)
        engines.push_back({ id, 0, 0, 0, {}, false });
    return engines;
}

// A prompt of 8,000 tokens, of which 6,000 are shared, and a response of up to 200.
Prompt prefillHeavy(uint64_t prefix) { return { 8000, 200, { { 1, 2000 }, { prefix, 4000 }, { 999, 2000 } } }; }

// A prompt of 500 tokens and a response of up to 900.
Prompt decodeHeavy() { return { 500, 900, { { 7, 100 }, { 8, 400 } } }; }

} // namespace

TEST(EnginePlacementTest, EachPrefixIsPlacedOnOneEngineAndPrefixesAreDistributed)
{
    EnginePlacement placement;
    auto engines = nineEngines();
    std::set<size_t> used;
    for (uint64_t prefix = 100; prefix < 200; ++prefix) {
        auto pick = placement.place(prefillHeavy(prefix), engines, s_capabilities, s_due, s_now);
        EXPECT_EQ(placement.place(prefillHeavy(prefix), engines, s_capabilities, s_due, s_now)->index, pick->index);
        EXPECT_EQ(pick->prefillTokens, 2000U) << "the shared prefix is expected to be cached there";
        used.insert(pick->index);
    }
    EXPECT_EQ(used.size(), engines.size());
}

// Guards against a fleet whose routers lose each other's loads: each would see hardly any generation and use the same
// first engine.
TEST(EnginePlacementTest, WithoutTheLoadsOfTheFleetDecodeHeavyWorkIsSpread)
{
    auto engines = nineEngines();
    std::map<size_t, int> withAllLoads;
    std::map<size_t, int> withoutLoads;
    for (int router = 0; router < 400; ++router) {
        ++withAllLoads[EnginePlacement().place(decodeHeavy(), engines, s_capabilities, s_due, s_now, 1)->index];
        ++withoutLoads[EnginePlacement().place(decodeHeavy(), engines, s_capabilities, s_due, s_now, 0.01)->index];
    }
    EXPECT_EQ(withAllLoads.size(), 1U) << "an idle fleet uses one engine";
    EXPECT_EQ(withoutLoads.size(), engines.size() / 2);
    for (const auto& [engine, generations] : withoutLoads)
        EXPECT_LT(generations, 200) << "no engine receives half of them";
}

// Guards against the first generations of a burst on one engine: at the start of the load no router knows of any.
TEST(EnginePlacementTest, ABurstFromIdleFillsNoEngineBeforeLoadsAreKnown)
{
    static constexpr unsigned batch = 32;
    for (size_t count : { 200U, 1000U, 2000U }) {
        std::vector<std::string> ids;
        ids.reserve(count);
        for (size_t number = 0; number < count; ++number)
            ids.push_back("engine-" + std::to_string(number));
        std::vector<EngineState> engines;
        engines.reserve(count);
        for (const auto& id : ids)
            engines.push_back({ id, 0, 0, 0, {}, false });
        std::map<size_t, unsigned> running;
        // As many routers as upstreams, of which every third places one generation within an interval of the exchange.
        for (size_t router = 0; router < count / 3; ++router)
            ++running[EnginePlacement().place(decodeHeavy(), engines, { batch, false }, s_due, s_now)->index];
        for (const auto& [engine, generations] : running)
            EXPECT_LE(generations, batch) << count << " engines";
    }
}

TEST(EnginePlacementTest, AnotherEngineIsTakenOnceWaitingCostsMoreThanPrefillingAgain)
{
    EnginePlacement placement;
    auto engines = nineEngines();
    auto home = placement.place(prefillHeavy(5), engines, s_capabilities, s_due, s_now)->index;
    engines[home].prefillTokens = 59'900;
    EXPECT_EQ(placement.place(prefillHeavy(5), engines, s_capabilities, s_due, s_now)->index, home);
    engines[home].prefillTokens = 60'100;
    auto other = placement.place(prefillHeavy(5), engines, s_capabilities, s_due, s_now);
    EXPECT_NE(other->index, home);
    EXPECT_EQ(other->prefillTokens, 8000U);
}

TEST(EnginePlacementTest, AnEngineWithoutThePrefixFetchesItFromTheOneThatHasIt)
{
    EnginePlacement placement;
    EngineCapabilities fetching { s_capabilities.batch, true };
    auto engines = nineEngines();
    auto home = placement.place(prefillHeavy(5), engines, fetching, s_due, s_now);
    EXPECT_FALSE(home->prefixSource) << "the engine is expected to have the prefix";
    engines[home->index].prefillTokens = 60'100;
    auto other = placement.place(prefillHeavy(5), engines, fetching, s_due, s_now);
    EXPECT_EQ(other->prefixSource, home->index);
    EXPECT_EQ(other->prefillTokens, 8000U) << "the other engine may have evicted it";
    EXPECT_FALSE(placement.place(prefillHeavy(5), engines, s_capabilities, s_due, s_now)->prefixSource)
        << "engines cannot fetch";
}

// Guards against copies of a frequently requested prefix at all engines, each of which evicts another prefix.
TEST(EnginePlacementTest, APrefixHasThreeEnginesBeforeItUsesAnyOther)
{
    EnginePlacement placement;
    EngineCapabilities fetching { s_capabilities.batch, true };
    auto engines = nineEngines();
    auto placeOnce = [&] { return *placement.place(prefillHeavy(5), engines, fetching, s_due, s_now); };
    auto home = placeOnce().index;
    std::set<size_t> used;
    // With 6,000 shared tokens, 60,000 queued tokens cost as much as a copy at an engine that keeps one.
    for (int copy = 0; copy < 3; ++copy) {
        auto pick = placeOnce();
        EXPECT_EQ(pick.prefixSource, pick.index == home ? std::nullopt : std::optional(home));
        used.insert(pick.index);
        engines[pick.index].prefillTokens = 60'100;
    }
    EXPECT_EQ(used.size(), 3U);
    EXPECT_EQ(placeOnce().index, home) << "all three wait as long, and another copy costs more";
    engines[home].prefillTokens = 89'900;
    EXPECT_EQ(placeOnce().index, home);
    engines[home].prefillTokens = 90'100;
    EXPECT_FALSE(used.contains(placeOnce().index));
    EXPECT_EQ(placeOnce().prefixSource, home);
}

// Guards against copies that move to other engines when one is ejected for a moment.
TEST(EnginePlacementTest, TheCopiesOfAPrefixStayWhileAnEngineIsAway)
{
    auto engines = nineEngines();
    auto place = [](std::span<const EngineState> offered) {
        auto pick = EnginePlacement().place(prefillHeavy(5), offered, s_capabilities, s_due, s_now);
        return offered[pick->index].id;
    };
    auto without = [&](std::string_view id) {
        auto others = engines;
        std::erase_if(others, [&](const auto& engine) { return engine.id == id; });
        return others;
    };
    auto makeBusy = [&](std::string_view id) {
        std::find_if(engines.begin(), engines.end(), [&](const auto& engine) { return engine.id == id; })->prefillTokens
            = 60'100;
    };
    auto first = place(engines);
    makeBusy(first);
    auto second = place(engines);
    EXPECT_EQ(place(without(first)), second);
    auto thirdWithoutSecond = place(without(second));
    makeBusy(second);
    EXPECT_EQ(place(engines), thirdWithoutSecond);
}

// Long prompts on the same engine would lengthen the pauses within long responses.
TEST(EnginePlacementTest, LongResponsesAndLongPromptsDoNotShareAnEngine)
{
    EnginePlacement placement;
    auto engines = nineEngines();
    std::set<size_t> decodeEngines;
    std::set<size_t> prefillEngines;
    for (int index = 0; index < 20; ++index) {
        auto pick = placement.place(decodeHeavy(), engines, s_capabilities, s_due, s_now);
        engines[pick->index].running += 1;
        engines[pick->index].decodeHeavy += 1;
        decodeEngines.insert(pick->index);
    }
    EXPECT_EQ(decodeEngines.size(), 1U) << "20 fit into half of one batch";
    for (uint64_t prefix = 0; prefix < 200; ++prefix)
        prefillEngines.insert(placement.place(prefillHeavy(prefix), engines, s_capabilities, s_due, s_now)->index);
    EXPECT_FALSE(prefillEngines.contains(*decodeEngines.begin()));
    EXPECT_EQ(prefillEngines.size(), engines.size() - 1);
}

// If routers counted only their own requests, all of them would fill one engine and leave the others idle.
TEST(EnginePlacementTest, DecodeHeavyWorkOfOtherRoutersIsCountedAndSpread)
{
    EnginePlacement placement;
    auto engines = nineEngines();
    for (auto& engine : engines)
        engine.decodeHeavy = 10;
    std::set<size_t> used;
    for (int index = 0; index < 300; ++index)
        used.insert(placement.place(decodeHeavy(), engines, s_capabilities, s_due, s_now)->index);
    EXPECT_EQ(used.size(), 4U) << "90 generations with 25% headroom, 32 per engine";
}

// In a burst, long responses must not spread to the engines of long prompts while their own engines have capacity left.
TEST(EnginePlacementTest, DecodeHeavyWorkFillsItsEnginesBeforeItUsesOthers)
{
    EnginePlacement placement;
    auto engines = nineEngines();
    auto usedBy = [&](double generations) {
        for (auto& engine : engines)
            engine.decodeHeavy = generations / static_cast<double>(engines.size());
        std::set<size_t> used;
        for (int index = 0; index < 300; ++index)
            used.insert(placement.place(decodeHeavy(), engines, s_capabilities, s_due, s_now)->index);
        return used.size();
    };
    EXPECT_EQ(usedBy(162), 4U) << "half-full batches would take seven engines, nearly full ones take four";
    EXPECT_EQ(usedBy(270), 6U) << "nearly full batches take more than half of the engines";
}

// Half-full batches would reserve engines that could take the late prompts.
TEST(EnginePlacementTest, DecodeHeavyWorkUsesFewerEnginesWhilePromptsAreLate)
{
    EnginePlacement placement;
    auto engines = nineEngines();
    for (auto& engine : engines)
        engine.decodeHeavy = 10;
    auto enginesOfDecodeHeavy = [&](Common::TimePoint now) {
        std::set<size_t> used;
        for (int index = 0; index < 300; ++index)
            used.insert(placement.place(decodeHeavy(), engines, s_capabilities, s_due, now)->index);
        return used.size();
    };
    EXPECT_EQ(enginesOfDecodeHeavy(s_now), 4U) << "90 generations with 25% headroom, 32 per engine";
    for (auto& engine : engines)
        engine.firstEvent = { 0, 1 };
    EXPECT_EQ(
        placement.place(prefillHeavy(5), engines, s_capabilities, s_now + 3s, s_now)->punctuality, Punctuality::OnTime);
    EXPECT_EQ(enginesOfDecodeHeavy(s_now), 4U);
    EXPECT_EQ(
        placement.place(prefillHeavy(5), engines, s_capabilities, s_now + 1s, s_now)->punctuality, Punctuality::Late);
    EXPECT_EQ(enginesOfDecodeHeavy(s_now + 1s), 2U) << "nearly full batches: 57 per engine";
    EXPECT_EQ(enginesOfDecodeHeavy(s_now + 4s), 4U) << "no prompt was late for three seconds";
}

TEST(EnginePlacementTest, DecodeHeavyWorkIsNeverLate)
{
    EnginePlacement placement;
    auto engines = nineEngines();
    for (auto& engine : engines)
        engine.firstEvent = { 0, 100 };
    auto pick = placement.place(decodeHeavy(), engines, s_capabilities, s_due, s_now);
    EXPECT_GT(pick->expectedFirstEvent, 600ms);
    EXPECT_EQ(pick->punctuality, Punctuality::OnTime)
        << "a late generation could be preempted in the middle of its response";
}

// Guards against long prompts with long responses that preempt each other: each preemption prefills the prompt again.
TEST(EnginePlacementTest, ALongResponseAfterALongPromptIsNeverLate)
{
    EnginePlacement placement;
    auto engines = nineEngines();
    for (auto& engine : engines)
        engine.firstEvent = { 0, 1 };
    auto capabilities = s_capabilities;
    capabilities.shortestMaxPause = 200ms;
    capabilities.pace = { 1, 10 };
    Prompt prompt { 12'000, 1536, { { 1, 5400 }, { 2, 6600 } } };
    auto pick = placement.place(prompt, engines, capabilities, s_now + 1s, s_now);
    EXPECT_FALSE(pick->isDecodeHeavy);
    EXPECT_GT(pick->expectedFirstEvent, 1s);
    EXPECT_EQ(pick->punctuality, Punctuality::OnTime);
}

TEST(EnginePlacementTest, PrefillHeavyWorkKeepsHalfOfTheEngines)
{
    EnginePlacement placement;
    auto engines = nineEngines();
    for (auto& engine : engines)
        engine.decodeHeavy = 200;
    std::set<size_t> prefillEngines;
    for (uint64_t prefix = 0; prefix < 300; ++prefix)
        prefillEngines.insert(placement.place(prefillHeavy(prefix), engines, s_capabilities, s_due, s_now)->index);
    EXPECT_EQ(prefillEngines.size(), 5U);
}

TEST(EnginePlacementTest, AnEngineWithoutDecodeHeavyWorkIsReleasedLater)
{
    EnginePlacement placement;
    auto engines = nineEngines();
    auto pick = placement.place(decodeHeavy(), engines, s_capabilities, s_due, s_now);
    auto receivesPrefillHeavy = [&](Common::TimePoint now) {
        for (uint64_t prefix = 0; prefix < 300; ++prefix) {
            if (placement.place(prefillHeavy(prefix), engines, s_capabilities, s_due, now)->index == pick->index)
                return true;
        }
        return false;
    };
    EXPECT_FALSE(receivesPrefillHeavy(s_now + 2s));
    EXPECT_TRUE(receivesPrefillHeavy(s_now + 4s));
}

// Guards against long prompts that run beside short questions because their response is long as well: each chunk of
// their prefill would lengthen the pauses of the questions beyond the bound.
TEST(EnginePlacementTest, ALongPromptIsPrefillHeavyWhereItWouldViolateAPauseBound)
{
    struct Case {
        const char* name;
        Prompt prompt;
        Common::Milliseconds shortestMaxPause;
        double millisecondsPerPrefillToken;
        bool isDecodeHeavy;
    };
    static constexpr double pace = 0.015;
    for (const auto& each :
        std::vector<Case> { { "a full record beside questions", { 11'992, 1536, {} }, 200ms, pace, false },
            { "a question", { 826, 576, {} }, 200ms, pace, true }, { "a tag", { 2368, 24, {} }, 200ms, pace, false },
            { "exactly a quarter of the bound", { 1000, 400, {} }, 200ms, 0.05, true },
            { "more than a quarter of the bound", { 1001, 400, {} }, 200ms, 0.05, false },
            { "a bound that tolerates the prefill", { 11'992, 1536, {} }, 800ms, pace, true },
            { "no bound", { 11'992, 1536, {} }, 0ms, pace, true },
            { "no pace", { 11'992, 1536, {} }, 200ms, 0, true } }) {
        EngineCapabilities capabilities { 12, false, each.shortestMaxPause, { each.millisecondsPerPrefillToken, 0 } };
        EXPECT_EQ(EnginePlacement::isDecodeHeavy(each.prompt, capabilities), each.isDecodeHeavy) << each.name;
        auto placed = EnginePlacement().place(each.prompt, nineEngines(), capabilities, s_due, s_now);
        EXPECT_EQ(placed->isDecodeHeavy, each.isDecodeHeavy) << each.name;
    }
}

// Guards against a retry or a replica that is counted in another group than the first attempt of its generation.
TEST(EnginePlacementTest, AnEarlierClassificationIsKept)
{
    EnginePlacement placement;
    auto engines = nineEngines();
    EXPECT_FALSE(placement.place(decodeHeavy(), engines, s_capabilities, s_due, s_now, 1, false)->isDecodeHeavy);
    EXPECT_TRUE(placement.place(prefillHeavy(5), engines, s_capabilities, s_due, s_now, 1, true)->isDecodeHeavy);
}

TEST(EnginePlacementTest, WithoutAnEngineThereIsNoPlacement)
{
    EXPECT_FALSE(EnginePlacement().place(decodeHeavy(), {}, s_capabilities, s_due, s_now));
}

} // namespace Brassladder::RouteServing::Routing
