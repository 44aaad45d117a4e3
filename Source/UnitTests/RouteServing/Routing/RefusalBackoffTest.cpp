// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/RefusalBackoff.h"
#include "RouteServing/Routing/UpstreamRegistry.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);

std::vector<UpstreamRecord> upstreams(size_t count)
{
    std::vector<UpstreamRecord> records;
    for (size_t index = 0; index < count; ++index)
        records.push_back({ "u" + std::to_string(index), "shop", { "127.0.0.1", 1 }, "north", 6, false });
    return records;
}

UpstreamRegistry::PlacementRequest request()
{
    UpstreamRegistry::PlacementRequest placementRequest;
    placementRequest.service = "shop";
    return placementRequest;
}

} // namespace

TEST(RefusalBackoffTest, EachRefusalInARowDoublesTheTimeAndAResponseHalvesIt)
{
    RefusalBackoff backoff;
    auto now = s_now;
    for (auto expected : { 25ms, 50ms, 100ms, 200ms }) {
        backoff.recordRefusal(now);
        // Refusal of a request that was in flight at the first refusal.
        backoff.recordRefusal(now);
        EXPECT_TRUE(backoff.isBackedOff(now + expected - 1ms));
        now += expected;
        EXPECT_FALSE(backoff.isBackedOff(now));
    }
    backoff.recordResponse();
    backoff.recordRefusal(now);
    EXPECT_TRUE(backoff.isBackedOff(now + 199ms));
    EXPECT_FALSE(backoff.isBackedOff(now + 200ms)) << "halved to 100 ms by the response, then doubled";
    for (int refusal = 0; refusal < 10; ++refusal) {
        now += 5s;
        backoff.recordRefusal(now);
    }
    EXPECT_TRUE(backoff.isBackedOff(now + 3999ms));
    EXPECT_FALSE(backoff.isBackedOff(now + 4s)) << "the doubling is bounded";
}

TEST(RefusalBackoffTest, AfterARefusalRequestsGoOneAtATimeUntilThereIsAResponse)
{
    RefusalBackoff backoff;
    backoff.recordRefusal(s_now);
    auto now = s_now + 25ms;
    EXPECT_FALSE(backoff.isBackedOff(now));
    backoff.recordStart(now);
    EXPECT_TRUE(backoff.isBackedOff(now + 99ms));
    EXPECT_FALSE(backoff.isBackedOff(now + 100ms)) << "the first request was not refused";
    backoff.recordStart(now + 100ms);
    backoff.recordResponse();
    EXPECT_FALSE(backoff.isBackedOff(now + 101ms));
}

// An upstream that refuses immediately has the fewest outstanding requests, so placement by load alone would choose it
// for nearly all requests.
TEST(RefusalBackoffTest, AFastRefusingUpstreamDoesNotAttractLoad)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams(upstreams(4));
    size_t refused = 0;
    auto now = s_now;
    std::vector<UpstreamRegistry::Placement> running;
    for (int index = 0; index < 1000; ++index) {
        now += 10ms;
        auto placement = *registry.choose(request(), now);
        registry.recordStart(placement);
        if (placement.upstream.id == "u0") {
            ++refused;
            registry.recordEnd(placement, false, AttemptOutcome::NotExecuted, now + 1ms);
            continue;
        }
        registry.recordResponse(placement.upstream);
        running.push_back(placement);
        // The other upstreams always have outstanding requests.
        if (running.size() > 9) {
            registry.recordEnd(running.front(), false, AttemptOutcome::Answered, now);
            running.erase(running.begin());
        }
    }
    EXPECT_LE(refused, 20U);
    EXPECT_GE(refused, 7U) << "it still receives a request about every four seconds";
}

TEST(RefusalBackoffTest, BackedOffUpstreamsAreUsedWhenNoOtherIsLeft)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams(upstreams(2));
    for (int index = 0; index < 20; ++index) {
        auto placement = registry.choose(request(), s_now);
        ASSERT_TRUE(placement) << "an attempt is better than a refusal";
        registry.recordStart(*placement);
        registry.recordEnd(*placement, false, AttemptOutcome::NotExecuted, s_now);
    }
}

// After a cooldown, the upstream receives one trial request. Until it responds, other upstreams receive the rest.
TEST(RefusalBackoffTest, AfterACooldownOneTrialRequestIsSentFirst)
{
    UpstreamRegistry registry("north");
    registry.setUpstreams(upstreams(2));
    auto afterCooldown = upstreams(2).front();
    registry.recordStatement(afterCooldown, { false, 2s }, s_now);
    auto now = s_now + 2s;
    size_t sent = 0;
    for (int index = 0; index < 20; ++index) {
        auto placement = *registry.choose(request(), now);
        registry.recordStart(placement);
        sent += placement.upstream.id == afterCooldown.id;
    }
    EXPECT_EQ(sent, 1U);
    registry.recordResponse(afterCooldown);
    EXPECT_EQ(registry.choose(request(), now)->upstream.id, afterCooldown.id)
        << "it has the fewest outstanding requests";
}

} // namespace Brassladder::RouteServing::Routing
