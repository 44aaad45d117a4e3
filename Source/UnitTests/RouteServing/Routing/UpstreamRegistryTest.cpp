// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/Digest.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);

UpstreamRecord upstream(const std::string& id, const std::string& domain = "north")
{
    return { id, "shop", { "127.0.0.1", 1 }, domain, 6, false };
}

std::vector<UpstreamRecord> three() { return { upstream("u1"), upstream("u2"), upstream("u3") }; }

UpstreamRegistry::PlacementRequest plainRequest(std::span<const std::string> attempted = {})
{
    UpstreamRegistry::PlacementRequest request;
    request.service = "shop";
    request.attempted = attempted;
    return request;
}

} // namespace

TEST(UpstreamRegistryTest, ALeavingUpstreamIsNotChosenAndRemainsLeaving)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("u1") });
    ASSERT_TRUE(registry.choose(plainRequest(), s_now));
    auto leaving = upstream("u1");
    leaving.leaving = true;
    registry.setUpstreams({ leaving });
    EXPECT_FALSE(registry.choose(plainRequest(), s_now));
    registry.setUpstreams({ upstream("u1") });
    EXPECT_FALSE(registry.choose(plainRequest(), s_now)) << "a delayed list states that it is serving";
    EXPECT_FALSE(registry.isServing("u1"));
}

// Guards against a request that waits for a connection while the list changes.
TEST(UpstreamRegistryTest, ARequestPlacedBeforeALeavingIsNotSentAfterIt)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams(three());
    auto leaving = upstream("u1");
    leaving.leaving = true;
    registry.setUpstreams({ leaving, upstream("u2") });
    EXPECT_FALSE(registry.permitSend(upstream("u1"), s_now)) << "it is leaving";
    EXPECT_TRUE(registry.permitSend(upstream("u2"), s_now));
    EXPECT_FALSE(registry.permitSend(upstream("u3"), s_now)) << "its entry is gone";
}

// Guards against a log from which nobody can tell when a router learned that an upstream leaves.
TEST(UpstreamRegistryTest, AListReturnsWhichUpstreamsLeaveAreGoneOrAreBack)
{
    using Kind = UpstreamDeparture::Kind;
    UpstreamRegistry registry("north");
    EXPECT_TRUE(registry.setUpstreams(three()).empty());
    auto leaving = upstream("u1");
    leaving.leaving = true;
    auto first = registry.setUpstreams({ leaving, upstream("u2") });
    ASSERT_EQ(first.size(), 2U);
    EXPECT_EQ(first[0].kind, Kind::Gone);
    EXPECT_EQ(first[0].upstream.id, "u3");
    EXPECT_EQ(first[1].kind, Kind::Leaving);
    EXPECT_EQ(first[1].upstream.id, "u1");
    auto second = registry.applyChanges({ { upstream("u3") }, { "u1" } });
    ASSERT_EQ(second.size(), 1U) << "that u1 is gone is not news";
    EXPECT_EQ(second[0].kind, Kind::Returned);
    EXPECT_EQ(second[0].upstream.id, "u3");
}

// A request that may crash its upstream is sent where the crash affects the fewest other requests.
TEST(UpstreamRegistryTest, AnIsolatedRequestGoesToTheLeastLoadedUpstream)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams(three());
    auto request = plainRequest();
    for (int busy = 0; busy < 2; ++busy) {
        auto placement = *registry.choose(request, s_now);
        registry.recordStart(placement);
        request.attempted = {};
    }
    auto isolated = plainRequest();
    isolated.onlyLeastLoaded = true;
    std::set<std::string> chosen;
    for (int draw = 0; draw < 50; ++draw)
        chosen.insert(registry.choose(isolated, s_now)->upstream.id);
    auto loads = registry.ownLoads();
    for (const auto& id : chosen)
        EXPECT_FALSE(loads.contains(shortHash(id))) << id;
}

TEST(UpstreamRegistryTest, ALaterIncarnationOfAnIdIsAnotherUpstream)
{
    UpstreamRegistry registry("north");
    auto first = upstream("u1");
    first.born = 1000;
    registry.setUpstreams({ first });
    auto before = registry.digest();
    auto sentToFirst = registry.choose(plainRequest(), s_now);
    registry.recordStart(*sentToFirst);
    auto leaving = first;
    leaving.leaving = true;
    registry.setUpstreams({ leaving });
    auto second = first;
    second.born = 2000;
    registry.setUpstreams({ second });
    EXPECT_TRUE(registry.isServing("u1")) << "the earlier incarnation was leaving, this one is not";
    EXPECT_TRUE(registry.ownLoads().empty()) << "the new incarnation has no outstanding requests";
    EXPECT_NE(registry.digest(), before) << "the digest must show the change to other routers";
    registry.recordStart(*registry.choose(plainRequest(), s_now));
    registry.recordEnd(*sentToFirst, false, AttemptOutcome::Interrupted, s_now);
    EXPECT_EQ(registry.ownLoads().begin()->second.requests, 1U)
        << "the request of the first incarnation is not counted for the second";
    // The next list is a delayed write of the first incarnation.
    registry.setUpstreams({ leaving });
    EXPECT_TRUE(registry.isServing("u1"));
    EXPECT_EQ(registry.upstreams().at(0).born, 2000U);
}

TEST(UpstreamRegistryTest, ALateWriteDoesNotRestoreADepartedIncarnation)
{
    UpstreamRegistry registry("north");
    auto leaving = upstream("u1");
    leaving.born = 2000;
    leaving.leaving = true;
    registry.setUpstreams({ leaving });
    registry.setUpstreams({});
    auto late = leaving;
    late.leaving = false;
    registry.setUpstreams({ late });
    EXPECT_FALSE(registry.isServing("u1"));
    late.born = 1000;
    registry.setUpstreams({ late });
    EXPECT_FALSE(registry.isServing("u1")) << "an earlier incarnation is obsolete as well";
    late.born = 3000;
    registry.setUpstreams({ late });
    EXPECT_TRUE(registry.isServing("u1"));
}

TEST(UpstreamRegistryTest, ALapsedEntryIsUsedAgainWhenItIsListedAgain)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("u1") });
    registry.setUpstreams({});
    registry.setUpstreams({ upstream("u1") });
    EXPECT_TRUE(registry.isServing("u1"));
}

// For any sequence of lists: each usable upstream is in the current list, was never leaving in this incarnation, and is
// not older than a known incarnation.
TEST(UpstreamRegistryTest, NoListRestoresAnObsoleteIncarnation)
{
    EXPECT_TRUE(rc::check([] {
        UpstreamRegistry registry("north");
        std::map<std::string, uint64_t> newest;
        std::set<std::pair<std::string, uint64_t>> left;
        for (int round = *rc::gen::inRange(1, 20); round > 0; --round) {
            std::vector<UpstreamRecord> list;
            std::set<std::string> listed;
            for (const char* id : { "u1", "u2", "u3" }) {
                if (!*rc::gen::arbitrary<bool>())
                    continue;
                list.push_back(upstream(id));
                list.back().born = *rc::gen::inRange<uint64_t>(1, 5);
                list.back().leaving = *rc::gen::arbitrary<bool>();
                listed.insert(id);
            }
            registry.setUpstreams(list);
            for (const auto& record : registry.upstreams()) {
                RC_ASSERT(listed.contains(record.id));
                RC_ASSERT(record.leaving || !left.contains({ record.id, record.born }));
                RC_ASSERT(record.leaving || record.born >= newest[record.id]);
                newest[record.id] = std::max(newest[record.id], record.born);
                if (record.leaving)
                    left.emplace(record.id, record.born);
            }
        }
    }));
}

TEST(UpstreamRegistryTest, MidStreamFailuresAreLikelyForAMinuteAfterOne)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams(three());
    auto endOne = [&](bool hadPrefillDone, AttemptOutcome outcome) {
        auto choice = registry.choose(plainRequest(), s_now);
        registry.recordStart(*choice);
        registry.recordEnd(*choice, hadPrefillDone, outcome, s_now);
    };
    endOne(true, AttemptOutcome::Answered);
    endOne(false, AttemptOutcome::Interrupted);
    EXPECT_FALSE(registry.midStreamFailuresAreLikely(s_now)) << "no attempt failed in the middle of a response";
    endOne(true, AttemptOutcome::Interrupted);
    EXPECT_TRUE(registry.midStreamFailuresAreLikely(s_now + 59s));
    EXPECT_FALSE(registry.midStreamFailuresAreLikely(s_now + 60s));
}

TEST(UpstreamRegistryTest, AnAttemptedUpstreamIsNotChosenAgain)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams(three());
    std::vector<std::string> attempted { "u1", "u3" };
    for (int index = 0; index < 50; ++index)
        EXPECT_EQ(registry.choose(plainRequest(attempted), s_now)->upstream.id, "u2");
    attempted.push_back("u2");
    EXPECT_FALSE(registry.choose(plainRequest(attempted), s_now));
}

TEST(UpstreamRegistryTest, TheOwnFailureDomainIsPreferredUntilItIsBusy)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("near", "north"), upstream("far", "south") });
    std::vector<std::string> chosen;
    for (int index = 0; index < 6; ++index) {
        auto choice = registry.choose(plainRequest(), s_now);
        registry.recordStart(*choice);
        chosen.push_back(choice->upstream.id);
    }
    EXPECT_EQ(chosen[0], "near");
    EXPECT_EQ(chosen[1], "near");
    EXPECT_EQ(std::count(chosen.begin(), chosen.end(), "far"), 2);
}

TEST(UpstreamRegistryTest, ALoadReportCountsUntilItExpires)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("u1"), upstream("u2") });
    registry.recordReport("u1", { 6, 4, 6 }, s_now);
    for (int index = 0; index < 50; ++index)
        EXPECT_EQ(registry.choose(plainRequest(), s_now)->upstream.id, "u2");
    std::set<std::string> later;
    for (int index = 0; index < 200; ++index)
        later.insert(registry.choose(plainRequest(), s_now + 2s)->upstream.id);
    EXPECT_EQ(later.size(), 2U);
}

TEST(UpstreamRegistryTest, AnUnreachableUpstreamIsEjectedUnlessAllAre)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("u1"), upstream("u2") });
    UpstreamRegistry::Placement first { upstream("u1"), 0, false };
    registry.recordStart(first);
    registry.recordEnd(first, false, AttemptOutcome::ConnectFailed, s_now);
    for (int index = 0; index < 50; ++index)
        EXPECT_EQ(registry.choose(plainRequest(), s_now)->upstream.id, "u2");
    UpstreamRegistry::Placement second { upstream("u2"), 0, false };
    registry.recordStart(second);
    registry.recordEnd(second, false, AttemptOutcome::ConnectFailed, s_now);
    EXPECT_TRUE(registry.choose(plainRequest(), s_now)) << "an attempt is better than a refusal";
}

TEST(UpstreamRegistryTest, AnOutlierIsChosenLast)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams(three());
    for (int index = 0; index < 8; ++index) {
        for (const auto& record : three()) {
            UpstreamRegistry::Placement choice { record, 0, false };
            registry.recordStart(choice);
            registry.recordEnd(
                choice, false, record.id == "u2" ? AttemptOutcome::ServerError : AttemptOutcome::Answered, s_now);
        }
    }
    for (int index = 0; index < 100; ++index)
        EXPECT_NE(registry.choose(plainRequest(), s_now)->upstream.id, "u2");
}

TEST(UpstreamRegistryTest, LoadsOfPeersCountUntilTheyAreReplaced)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("u1"), upstream("u2") });
    registry.setPeerLoads({ { shortHash("u1"), UpstreamLoad { 5, 0, 0 } } });
    for (int index = 0; index < 50; ++index)
        EXPECT_EQ(registry.choose(plainRequest(), s_now)->upstream.id, "u2");
    registry.setPeerLoads({});
    std::set<std::string> chosen;
    for (int index = 0; index < 200; ++index)
        chosen.insert(registry.choose(plainRequest(), s_now)->upstream.id);
    EXPECT_EQ(chosen.size(), 2U);
}

// The first three generations establish a prefill speed of ten tokens per millisecond.
TEST(UpstreamRegistryTest, AGenerationThatMissesItsDeadlineIsLateAndYieldsToOthers)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("e1") });
    auto choose = [&](uint32_t tokens) {
        Prompt prompt { tokens, 1, {} };
        UpstreamRegistry::PlacementRequest request;
        request.service = "shop";
        request.prompt = &prompt;
        request.due = s_now + 500ms;
        return *registry.choose(request, s_now);
    };
    EXPECT_EQ(choose(100'000).punctuality, Punctuality::OnTime) << "there is no estimate for the engine yet";
    for (uint32_t tokens : { 1000, 3000, 5000 }) {
        auto seen = choose(tokens);
        registry.recordStart(seen);
        registry.recordPrefillDone(seen, s_now + Common::Milliseconds(tokens / 10));
        registry.recordEnd(seen, true, AttemptOutcome::Answered, s_now);
    }
    auto inTime = choose(4000);
    EXPECT_EQ(inTime.punctuality, Punctuality::OnTime);
    EXPECT_EQ(inTime.expectedFirstEvent, 400ms);
    registry.recordStart(inTime);
    auto late = choose(4000);
    EXPECT_EQ(late.punctuality, Punctuality::Late) << "the prompt of the earlier generation is prefilled first";
    registry.recordStart(late);
    EXPECT_EQ(choose(100).queuedPrefillTokens, 4000U) << "a late generation does not delay later ones";
    registry.recordEnd(late, false, AttemptOutcome::CancelledAfterSending, s_now);
    EXPECT_EQ(choose(100).queuedPrefillTokens, 4000U);
    registry.recordEnd(inTime, false, AttemptOutcome::CancelledAfterSending, s_now);
    EXPECT_EQ(choose(100).queuedPrefillTokens, 0U);
}

// Guards against a classification that ignores the pace which the router observes, or that changes between attempts.
TEST(UpstreamRegistryTest, AGenerationIsClassifiedOnceByTheObservedPace)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams(three());
    Prompt prompt { 12'000, 1536, { { 1, 5400 }, { 2, 6600 } } };
    auto request = plainRequest();
    request.prompt = &prompt;
    request.engine = { 12, false, 200ms };
    request.due = s_now + 2s;
    auto first = *registry.choose(request, s_now);
    EXPECT_TRUE(first.isDecodeHeavy) << "no pace is known, and the response is long";
    registry.recordStart(first);
    EXPECT_EQ(registry.outstandingOf("shop").decodeHeavy, 1U);
    registry.recordPrefillDone(first, s_now + 180ms);
    auto other = *registry.choose(request, s_now + 180ms);
    EXPECT_FALSE(other.isDecodeHeavy) << "180 ms are more than a quarter of 200 ms";
    request.isDecodeHeavy = first.isDecodeHeavy;
    EXPECT_TRUE(registry.choose(request, s_now + 180ms)->isDecodeHeavy) << "a retry of the first one";
}

// Guards against a rate that stays after its prompt has been prefilled, and against late generations that are not
// counted, because the fleet would then order fewer engines the less its engines keep up.
TEST(UpstreamRegistryTest, APromptCountsAgainstItsOwnObjectiveUntilItsPrefillIsDone)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("e1") });
    auto choose = [&](uint32_t tokens, Common::Milliseconds objective) {
        Prompt prompt { tokens, 1, {} };
        UpstreamRegistry::PlacementRequest request;
        request.service = "shop";
        request.prompt = &prompt;
        request.objective = objective;
        request.due = s_now + objective;
        return *registry.choose(request, s_now);
    };
    auto urgent = choose(600, 300ms);
    auto patient = choose(6000, 1500ms);
    patient.punctuality = Punctuality::Late;
    registry.recordStart(urgent);
    registry.recordStart(patient);
    EXPECT_EQ(registry.outstandingOf("shop").prefillRate, 2000U + 4000U);
    EXPECT_EQ(registry.outstandingOf("shop").prefillTokens, 600U) << "a late generation does not delay others";
    registry.setPeerLoads({ { shortHash("e1"), { 2, 0, 900, 700, 100 } } });
    EXPECT_EQ(registry.outstandingOf("shop").prefillRate, 6700U);
    EXPECT_EQ(registry.outstandingOf("shop").unratedPrefillTokens, 100U);
    registry.setPeerLoads({});
    registry.recordPrefillDone(urgent, s_now + 10ms);
    EXPECT_EQ(registry.outstandingOf("shop").prefillRate, 4000U);
    registry.recordEnd(urgent, true, AttemptOutcome::Answered, s_now);
    registry.recordEnd(patient, false, AttemptOutcome::CancelledAfterSending, s_now);
    EXPECT_EQ(registry.outstandingOf("shop").prefillRate, 0U);
    auto replica = choose(600, 300ms);
    replica.prefillTokens = 0;
    EXPECT_EQ(replica.prefillRate(), 0U) << "a generation that resumes from a replica prefills nothing";
    EXPECT_EQ(choose(600, 0ms).prefillRate(), 0U) << "without an objective, nothing requires an engine in time";
}

// A router without a list reports digest 0. If an empty list had digest 0 too, other routers would not request it.
// Guards against a start of the upstream that is overloaded, whichever of the list and the configuration arrives first.
TEST(UpstreamRegistryTest, AColdUpstreamNeedsAQuotaUntilItIsWarm)
{
    for (bool listIsFirst : { true, false }) {
        UpstreamRegistry registry("north");
        auto cold = upstream("u1");
        cold.coldUntil = s_now + 3s;
        if (!listIsFirst)
            registry.setColdRates({ { "shop", 10 } });
        registry.setUpstreams({ cold, upstream("u2") });
        if (listIsFirst)
            registry.setColdRates({ { "shop", 10 } });
        for (int draw = 0; draw < 20; ++draw)
            EXPECT_EQ(registry.choose(plainRequest(), s_now)->upstream.id, "u2");
        EXPECT_FALSE(registry.permitSend(cold, s_now)) << "a request that was placed earlier is withheld as well";
        registry.quotas().addGrant(statementKey(cold), 1, s_now + 700ms);
        EXPECT_TRUE(registry.permitSend(cold, s_now));
        EXPECT_FALSE(registry.permitSend(cold, s_now));
        EXPECT_TRUE(registry.permitSend(cold, s_now + 3s));
        registry.setUpstreams({ cold });
        EXPECT_FALSE(registry.permitSend(cold, s_now));
        registry.setUpstreams({ upstream("u1") });
        EXPECT_TRUE(registry.permitSend(cold, s_now)) << "its entry states that it is warm";
    }
}

TEST(UpstreamRegistryTest, AServiceWithoutAColdRateDoesNotLimitItsUpstreams)
{
    UpstreamRegistry registry("north");
    registry.setColdRates({ { "other", 10 } });
    auto cold = upstream("u1");
    cold.coldUntil = s_now + 3s;
    registry.setUpstreams({ cold });
    EXPECT_TRUE(registry.permitSend(cold, s_now));
}

// Guards against requests that reach an evacuated failure domain by another way than placement.
TEST(UpstreamRegistryTest, AnEvacuatedUpstreamReceivesNothingUntilTheEvacuationEnds)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({ upstream("u1") });
    auto placement = *registry.choose(plainRequest(), s_now);
    auto evacuated = upstream("u1");
    evacuated.evacuated = true;
    registry.setUpstreams({ evacuated });
    EXPECT_FALSE(registry.choose(plainRequest(), s_now));
    EXPECT_FALSE(registry.permitSend(placement.upstream, s_now)) << "it was placed before";
    EXPECT_FALSE(registry.allowsRequest(placement.upstream, s_now)) << "a failover to a replica";
    registry.setUpstreams({ upstream("u1") });
    EXPECT_TRUE(registry.choose(plainRequest(), s_now)) << "unlike leaving, an evacuation can be taken back";
    EXPECT_TRUE(registry.permitSend(placement.upstream, s_now));
}

TEST(UpstreamRegistryTest, OnlyUpstreamsOfTheRequiredVersionAreChosen)
{
    UpstreamRegistry registry("north");
    auto first = upstream("u1");
    first.softwareVersion = "v1";
    auto second = upstream("u2");
    second.softwareVersion = "v2";
    registry.setUpstreams({ first, second, upstream("u3") });
    auto request = plainRequest();
    request.softwareVersion = "v2";
    for (int round = 0; round < 20; ++round)
        EXPECT_EQ(registry.choose(request, s_now)->upstream.id, "u2");
    for (const char* version : { "v3", "" }) {
        request.softwareVersion = version;
        EXPECT_FALSE(registry.choose(request, s_now)) << version;
        EXPECT_FALSE(registry.hasHealthyUpstream(request, s_now)) << version;
    }
    auto rewritten = second;
    rewritten.softwareVersion = "v3";
    registry.setUpstreams({ first, rewritten });
    EXPECT_FALSE(registry.permitSend(second, s_now)) << "the version has changed since the choice";
}

TEST(UpstreamRegistryTest, APrefixIsNotFetchedFromAnotherOrAnUnknownVersion)
{
    Prompt prompt { 8000, 200, { { 1, 2000 }, { 5, 4000 }, { 999, 2000 } } };
    auto fetches = [&](const std::string& first, const std::string& second) {
        UpstreamRegistry registry("north");
        auto engines = std::vector { upstream("u1"), upstream("u2") };
        engines[0].softwareVersion = first;
        engines[1].softwareVersion = second;
        registry.setUpstreams(engines);
        auto request = plainRequest();
        request.prompt = &prompt;
        request.engine = { 64, true };
        request.due = s_now + 10s;
        auto home = *registry.choose(request, s_now);
        home.prefillTokens = 90'000;
        registry.recordStart(home);
        auto other = registry.choose(request, s_now);
        EXPECT_NE(other->upstream.id, home.upstream.id);
        return other->prefixSource.has_value();
    };
    EXPECT_TRUE(fetches("v1", "v1"));
    EXPECT_FALSE(fetches("v1", "v2"));
    EXPECT_FALSE(fetches("", ""));
}

TEST(UpstreamRegistryTest, AListOfAnEarlierRouterDoesNotRemoveKnownVersions)
{
    UpstreamRegistry registry("north");
    auto stated = upstream("u1");
    stated.softwareVersion = "v1";
    registry.setUpstreams({ stated });
    registry.setUpstreams({ upstream("u1") });
    EXPECT_EQ(registry.upstreams().front().softwareVersion, "v1");
    auto restarted = upstream("u1");
    restarted.born = 1;
    registry.setUpstreams({ restarted });
    EXPECT_EQ(registry.upstreams().front().softwareVersion, "") << "another process may run another version";
}

TEST(UpstreamRegistryTest, AnEmptyListHasADigest)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams({});
    EXPECT_NE(registry.digest(), 0U);
}

} // namespace Brassladder::RouteServing::Routing
