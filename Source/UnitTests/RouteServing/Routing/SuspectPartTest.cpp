// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/SuspectLedger.h"

#include <gtest/gtest.h>

// Guards against requests that crash engines by a part of their prompts, and against holding other parts instead.
namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::TimePoint;
using Subject = SuspectLedger::Subject;

namespace {

constexpr TimePoint s_start(1h);

RequestIdentity partOf(uint64_t id, std::string_view version = "v1")
{
    return RequestIdentity::ofPromptPart("model", version, id);
}

// The state of one router. Each request is unlike all others, unless its parts are the same.
struct Router {
    InterruptedAttempt attemptWith(std::vector<RequestIdentity> parts, TimePoint sent, TimePoint ended)
    {
        auto number = ++m_requests;
        return { "r" + std::to_string(number), { number, 10, { number, number } }, "w", "/x", sent, ended,
            std::move(parts) };
    }
    // Crashes an engine under requests with these parts.
    void crash(const std::vector<std::vector<RequestIdentity>>& prompts)
    {
        std::vector<InterruptedAttempt> attempts;
        attempts.reserve(prompts.size());
        for (const auto& parts : prompts)
            attempts.push_back(attemptWith(parts, now, now + 200ms));
        now += 200ms;
        ledger.recordCrash({ "e", ++m_crashes }, attempts, now);
        now += 300ms;
    }
    void complete(std::vector<RequestIdentity> parts)
    {
        now += 200ms;
        ledger.recordCompletedParts(parts, now);
        now += 200ms;
    }
    Suspicion judge(std::vector<RequestIdentity> parts) const
    {
        return ledger.judge({ std::nullopt, std::move(parts) }, now).suspicion;
    }

    SuspectLedger ledger;
    TimePoint now { s_start };

private:
    uint64_t m_requests { 0 };
    uint64_t m_crashes { 0 };
};

const auto s_first = partOf(1);
const auto s_crashing = partOf(2);
const auto s_other = partOf(3);

} // namespace

TEST(SuspectPartTest, ThreeSequentialCrashesHoldAPartOfDifferentRequests)
{
    Router router;
    for (auto expected : { Suspicion::Once, Suspicion::Repeated, Suspicion::Held }) {
        router.crash({ { s_crashing } });
        EXPECT_EQ(router.judge({ s_crashing }), expected);
    }
    EXPECT_EQ(router.judge({ s_other }), Suspicion::None);
    EXPECT_TRUE(router.ledger.hasPromptParts());
}

// A part that most requests share is in flight at each crash.
TEST(SuspectPartTest, APartThatCompletesBetweenCrashesIsNotHeld)
{
    Router router;
    for (int crash = 0; crash < 20; ++crash) {
        router.crash({ { s_first, s_crashing }, { s_first, s_other } });
        router.complete({ s_first, s_other });
    }
    EXPECT_EQ(router.judge({ s_first, s_other }), Suspicion::None);
    EXPECT_EQ(router.judge({ s_first, s_crashing }), Suspicion::Held);
}

// Most upstreams are down, so nothing completes between the crashes that hold the crashing part.
TEST(SuspectPartTest, APartThatCompletedBeforeTheCrashesIsNotRestrictedBesideACrashingOne)
{
    Router router;
    router.complete({ s_first });
    for (int crash = 0; crash < 3; ++crash)
        router.crash({ { s_first, s_crashing } });
    EXPECT_EQ(router.judge({ s_first, s_crashing }), Suspicion::Held);
    EXPECT_EQ(router.judge({ s_first }), Suspicion::Once);
}

// A part may crash upstreams only since their state changed; that it completed before must not protect it forever.
TEST(SuspectPartTest, APartThatCompletedBeforeIsHeldAfterFiveCrashes)
{
    Router router;
    router.complete({ s_crashing });
    for (int crash = 0; crash < 4; ++crash)
        router.crash({ { s_crashing } });
    EXPECT_EQ(router.judge({ s_crashing }), Suspicion::Once);
    router.crash({ { s_crashing } });
    EXPECT_EQ(router.judge({ s_crashing }), Suspicion::Held);
}

TEST(SuspectPartTest, CompletedRunsOnOneVersionDoNotClearAPartThatCrashesAnother)
{
    Router router;
    for (int crash = 0; crash < 3; ++crash) {
        router.complete({ s_crashing });
        router.crash({ { partOf(2, "v2") } });
    }
    EXPECT_EQ(router.judge({ partOf(2, "") }), Suspicion::Held) << "any version";
}

// Engines of several versions serve side by side during a release.
TEST(SuspectPartTest, CrashesAtSeveralVersionsCountTogether)
{
    Router router;
    for (const auto* version : { "v1", "v2", "v3" })
        router.crash({ { partOf(2, version) } });
    EXPECT_EQ(router.judge({ partOf(2, "") }), Suspicion::Held);
    EXPECT_EQ(router.ledger.suspicionOf(partOf(2, "v1"), router.now), Suspicion::Held);
    router.now += 11min;
    Subject subject { std::nullopt, { partOf(2, "") } };
    ASSERT_EQ(router.ledger.judge(subject, router.now).suspicion, Suspicion::OnTrial);
    router.ledger.recordTrial(subject, router.now);
    EXPECT_EQ(router.ledger.judge(subject, router.now).suspicion, Suspicion::Held) << "one trial for all versions";
}

// Two parts were in flight at the same crashes. A request with only one of them may run alone, which tells them apart.
TEST(SuspectPartTest, APartThatOnlyAccompaniesAHeldOneRunsAloneAndIsCleared)
{
    Router router;
    for (int crash = 0; crash < 3; ++crash)
        router.crash({ { s_other, s_crashing } });
    EXPECT_EQ(router.judge({ s_other, s_crashing }), Suspicion::Held);
    EXPECT_EQ(router.judge({ s_other }), Suspicion::Repeated);
    router.complete({ s_other });
    EXPECT_EQ(router.judge({ s_other }), Suspicion::None);
    EXPECT_EQ(router.judge({ s_crashing }), Suspicion::Held);
}

TEST(SuspectPartTest, OfTwoPartsWithTheSameCrashesTheOneThatCrashesAgainIsHeld)
{
    Router router;
    for (int crash = 0; crash < 3; ++crash)
        router.crash({ { s_other, s_crashing } });
    ASSERT_EQ(router.judge({ s_crashing }), Suspicion::Repeated);
    router.crash({ { s_crashing } });
    EXPECT_EQ(router.judge({ s_crashing }), Suspicion::Held);
    EXPECT_EQ(router.judge({ s_other }), Suspicion::Repeated) << "the other one may still run alone";
}

// Several requests with the crashing part run at once, so that most engines crash within moments and nothing completes.
TEST(SuspectPartTest, APartThatCompletedBeforeIsNotRestrictedByManyCrashesOfAnotherOne)
{
    Router router;
    router.complete({ s_first });
    for (int crash = 0; crash < 20; ++crash)
        router.crash({ { s_first, s_crashing } });
    EXPECT_EQ(router.judge({ s_first, s_crashing }), Suspicion::Held);
    EXPECT_EQ(router.judge({ s_first }), Suspicion::Once);
}

// The engines of a failure domain crash together, with the same part in flight at all of them.
TEST(SuspectPartTest, SimultaneousCrashesDoNotHoldAPart)
{
    Router router;
    router.complete({ s_first });
    for (uint64_t engine = 0; engine < 20; ++engine) {
        std::vector<InterruptedAttempt> attempts { router.attemptWith(
            { s_first, s_other }, router.now, router.now + 200ms) };
        router.ledger.recordCrash({ "rack", engine }, attempts, router.now + 230ms);
    }
    router.now += 1s;
    EXPECT_EQ(router.judge({ s_first, s_other }), Suspicion::Repeated);
    router.complete({ s_first, s_other });
    EXPECT_EQ(router.judge({ s_first, s_other }), Suspicion::None);
}

// A caller names a part that another workspace uses, together with one that crashes engines.
TEST(SuspectPartTest, ACallerCannotHoldAPartThatOthersComplete)
{
    Router router;
    for (int crash = 0; crash < 12; ++crash) {
        router.crash({ { s_other, s_crashing } });
        if (crash % 2)
            router.complete({ s_other });
        EXPECT_LT(router.judge({ s_other }), Suspicion::Held);
    }
}

// An engine crashes under more parts than the ledger accepts from one crash.
TEST(SuspectPartTest, PartsThatNeverCompletedAreRecordedFirst)
{
    Router router;
    std::vector<RequestIdentity> popular;
    for (uint64_t id = 100; id < 500; ++id)
        popular.push_back(partOf(id));
    for (int crash = 0; crash < 3; ++crash) {
        router.complete(popular);
        auto prompts = std::vector<std::vector<RequestIdentity>> { popular, { s_first, s_crashing } };
        router.crash(prompts);
    }
    EXPECT_EQ(router.judge({ s_first, s_crashing }), Suspicion::Held);
    EXPECT_LE(router.ledger.list(router.now).size(), 1024U);
}

// A request that repeats with the same prompt is blamed both as a whole and by its parts.
TEST(SuspectPartTest, ARequestAndItsPartShareTheirTrials)
{
    Router router;
    Subject subject { RequestIdentity { 7, 10, { 7, 7 } }, { s_crashing } };
    for (uint64_t crash = 0; crash < 3; ++crash) {
        std::vector<InterruptedAttempt> attempts { { "r", *subject.request, "w", "/x", router.now, router.now + 200ms,
            subject.promptParts } };
        router.now += 500ms;
        router.ledger.recordCrash({ "e", crash }, attempts, router.now);
    }
    router.now += 11min;
    ASSERT_EQ(router.ledger.judge(subject, router.now).suspicion, Suspicion::OnTrial);
    router.ledger.recordTrial(subject, router.now);
    EXPECT_EQ(router.ledger.find(*subject.request)->trials, 1U);
    EXPECT_EQ(router.ledger.find(s_crashing)->trials, 1U);
    EXPECT_EQ(router.ledger.judge(subject, router.now).suspicion, Suspicion::Held);
    EXPECT_EQ(router.judge({ s_crashing }), Suspicion::Repeated) << "the request explains the crashes of its part";
}

// Guards against routers that end in different states because records of a part arrive in another order.
TEST(SuspectPartTest, RecordsOfSeveralRoutersCombineInAnyOrder)
{
    SuspectRecord early { s_crashing, "w", "/x", { { { "e", 1 }, "r1", s_start, s_start + 500ms } } };
    SuspectRecord late { s_crashing, "w", "/x", { { { "e", 1 }, "r2", s_start + 300ms, s_start + 501ms } } };
    late.hasCompleted = true;
    for (bool isReversed : { false, true }) {
        SuspectRecord sum = isReversed ? late : early;
        EXPECT_TRUE(merge(sum, isReversed ? early : late) || isReversed);
        ASSERT_EQ(sum.runs.size(), 1U);
        EXPECT_EQ(sum.runs.front().requestId, "r2");
        EXPECT_TRUE(sum.hasCompleted);
        EXPECT_FALSE(merge(sum, early));
        EXPECT_FALSE(merge(sum, late));
    }
}

// A popular part that is forgotten would be restricted like a part that never completed.
TEST(CompletedPartsTest, ThousandsOfPartsAreRemembered)
{
    CompletedParts parts;
    for (uint64_t id = 0; id < 2000; ++id)
        parts.record(partOf(id), s_start + Common::Milliseconds(id));
    size_t known = 0;
    for (uint64_t id = 0; id < 2000; ++id)
        known += parts.lastCompleted(partOf(id)).has_value();
    EXPECT_GE(known, 1990U);
}

TEST(CompletedPartsTest, OnlyCompletedPartsAreRemembered)
{
    CompletedParts parts;
    EXPECT_FALSE(parts.lastCompleted(s_first));
    parts.record(s_first, s_start);
    EXPECT_EQ(parts.lastCompleted(s_first), s_start);
    EXPECT_FALSE(parts.lastCompleted(s_other));
    parts.record(s_first, s_start + 1s);
    EXPECT_EQ(parts.lastCompleted(s_first), s_start + 1s);
}

} // namespace Brassladder::RouteServing::Routing
