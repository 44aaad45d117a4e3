// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/SlotCoordinator.h"
#include "RouteServing/Routing/SlotCoordinatorRanking.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <set>

// Guards against fragile upstreams that get more requests than they have slots, and against slots that stay unused.
namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Verdict = SlotCoordinator::Verdict;

namespace {

constexpr Common::TimePoint s_now(1h);

SlotRequestId idOf(uint64_t sequence, const std::string& router = "r1") { return { router, 1, sequence }; }

SlotCoordinator::Request requestFor(const SlotRequestId& id, size_t rank = 0, unsigned slots = 2)
{
    return { id, rank, slots, s_now + 1s, s_now + 10s };
}

// A coordinator of two slots that are both reserved, by the sequences 1 and 2.
SlotCoordinator fullCoordinator()
{
    SlotCoordinator coordinator;
    coordinator.request(requestFor(idOf(1)), s_now);
    coordinator.request(requestFor(idOf(2)), s_now);
    return coordinator;
}

std::vector<uint64_t> sequencesOf(const std::vector<SlotRequestId>& ids)
{
    std::vector<uint64_t> sequences;
    sequences.reserve(ids.size());
    for (const auto& id : ids)
        sequences.push_back(id.sequence);
    return sequences;
}

using Sequences = std::vector<uint64_t>;

} // namespace

TEST(SlotCoordinatorTest, AsManyRequestsAreGrantedAsThereAreSlots)
{
    auto coordinator = fullCoordinator();
    EXPECT_EQ(coordinator.reserved(), 2U);
    EXPECT_EQ(coordinator.request(requestFor(idOf(3)), s_now).verdict, Verdict::Queued);
    EXPECT_EQ(coordinator.request(requestFor(idOf(1)), s_now).verdict, Verdict::Granted) << "sent again";
    EXPECT_EQ(coordinator.grantWaiting(s_now), std::vector<SlotRequestId>());
    coordinator.release(idOf(2), {}, s_now + 20ms);
    EXPECT_EQ(sequencesOf(coordinator.grantWaiting(s_now + 20ms)), Sequences { 3 });
}

TEST(SlotCoordinatorTest, MoreUrgentRequestsGoFirstAndNoneStarves)
{
    auto coordinator = fullCoordinator();
    coordinator.request(requestFor(idOf(10), 2), s_now);
    for (uint64_t sequence = 11; sequence < 20; ++sequence)
        coordinator.request(requestFor(idOf(sequence), 1), s_now);
    Sequences granted;
    for (uint64_t freed = 1; granted.size() < 7; freed = granted.back()) {
        coordinator.release(idOf(freed), {}, s_now);
        for (auto sequence : sequencesOf(coordinator.grantWaiting(s_now)))
            granted.push_back(sequence);
    }
    EXPECT_EQ(granted, (Sequences { 11, 12, 13, 14, 15, 10, 16 }));
}

TEST(SlotCoordinatorTest, AWaitThatIsTooLongIsDeniedAtOnce)
{
    auto coordinator = fullCoordinator();
    coordinator.release(idOf(1), {}, s_now + 800ms);
    coordinator.request(requestFor(idOf(3)), s_now + 800ms);
    auto decision = coordinator.request(requestFor(idOf(4)), s_now + 800ms);
    EXPECT_EQ(decision.verdict, Verdict::Denied) << "400 ms are expected, 200 ms are left";
    EXPECT_GE(decision.retryAfter, 400ms);
    EXPECT_LE(decision.retryAfter, 4s);
    auto patient = requestFor(idOf(5));
    patient.waitUntil = s_now + 2s;
    EXPECT_EQ(coordinator.request(patient, s_now + 800ms).verdict, Verdict::Queued);
}

TEST(SlotCoordinatorTest, WaitsAndReservationsExpire)
{
    auto coordinator = fullCoordinator();
    coordinator.request(requestFor(idOf(3)), s_now);
    EXPECT_EQ(coordinator.waiting(), 1U);
    EXPECT_EQ(coordinator.grantWaiting(s_now + 1s), std::vector<SlotRequestId>());
    EXPECT_EQ(coordinator.waiting(), 0U);
    coordinator.grantWaiting(s_now + 10s);
    EXPECT_EQ(coordinator.reserved(), 0U);
    EXPECT_TRUE(coordinator.isIdle(s_now + 11s));
}

TEST(SlotCoordinatorTest, AWithdrawnRequestIsNotGranted)
{
    auto coordinator = fullCoordinator();
    coordinator.request(requestFor(idOf(3)), s_now);
    coordinator.release(idOf(3), {}, s_now);
    coordinator.release(idOf(1), {}, s_now);
    EXPECT_EQ(coordinator.grantWaiting(s_now), std::vector<SlotRequestId>());
}

// The upstream has less room than its entry states, or others send requests there.
TEST(SlotCoordinatorTest, ARejectionClosesASlotForAWhile)
{
    auto coordinator = fullCoordinator();
    coordinator.release(idOf(1), { true, 0ms }, s_now);
    EXPECT_EQ(coordinator.request(requestFor(idOf(3)), s_now).verdict, Verdict::Queued);
    coordinator.release(idOf(2), { true, 0ms }, s_now);
    EXPECT_EQ(sequencesOf(coordinator.grantWaiting(s_now)), Sequences { 3 }) << "one slot remains open";
    auto later = requestFor(idOf(4));
    later.waitUntil = s_now + 5s;
    EXPECT_EQ(coordinator.request(later, s_now + 1s).verdict, Verdict::Queued);
    EXPECT_EQ(sequencesOf(coordinator.grantWaiting(s_now + 2s)), Sequences { 4 });
}

TEST(SlotCoordinatorTest, ASlotStaysTakenWhileTheUpstreamMayWorkOnALostRequest)
{
    auto coordinator = fullCoordinator();
    coordinator.release(idOf(1), { false, 500ms }, s_now);
    EXPECT_EQ(coordinator.request(requestFor(idOf(3)), s_now).verdict, Verdict::Queued);
    EXPECT_EQ(sequencesOf(coordinator.grantWaiting(s_now + 500ms)), Sequences { 3 });
}

TEST(SlotCoordinatorTest, ALostRouterFreesItsSlots)
{
    SlotCoordinator coordinator;
    coordinator.request(requestFor(idOf(1, "lost")), s_now);
    coordinator.request(requestFor(idOf(2, "other")), s_now);
    coordinator.request(requestFor(idOf(3, "lost")), s_now);
    coordinator.request(requestFor(idOf(4, "other")), s_now);
    coordinator.forgetRouter("lost", s_now);
    EXPECT_EQ(coordinator.waiting(), 1U);
    EXPECT_EQ(coordinator.grantWaiting(s_now), std::vector<SlotRequestId>()) << "its request may be under way";
    EXPECT_EQ(sequencesOf(coordinator.grantWaiting(s_now + 300ms)), Sequences { 4 });
}

TEST(SlotCoordinatorTest, RequestsWithoutAReservationTakeSlots)
{
    SlotCoordinator coordinator;
    coordinator.setReportedLoad(1);
    EXPECT_EQ(coordinator.request(requestFor(idOf(1)), s_now).verdict, Verdict::Granted);
    EXPECT_EQ(coordinator.request(requestFor(idOf(2)), s_now).verdict, Verdict::Queued);
    for (int report = 0; report < 10; ++report)
        coordinator.setReportedLoad(1);
    EXPECT_EQ(sequencesOf(coordinator.grantWaiting(s_now)), Sequences { 2 }) << "the report is of the own reservation";
}

TEST(SlotCoordinatorTest, NothingIsGrantedBeforeTheLoadOfAPredecessorIsKnown)
{
    SlotCoordinator coordinator;
    coordinator.settleUntil(s_now + 200ms);
    EXPECT_EQ(coordinator.request(requestFor(idOf(1)), s_now).verdict, Verdict::Queued);
    EXPECT_EQ(coordinator.grantWaiting(s_now + 199ms), std::vector<SlotRequestId>());
    EXPECT_EQ(sequencesOf(coordinator.grantWaiting(s_now + 200ms)), Sequences { 1 });
}

TEST(SlotCoordinatorTest, APartOfAFleetUsesItsShareOfTheSlots)
{
    for (auto [share, expected] : { std::pair(1.0, 6U), std::pair(0.8, 6U), std::pair(0.5, 3U), std::pair(0.01, 1U) }) {
        SlotCoordinator coordinator;
        coordinator.setReachableShare(share);
        for (uint64_t sequence = 1; sequence <= 9; ++sequence)
            coordinator.request(requestFor(idOf(sequence), 0, 6), s_now);
        EXPECT_EQ(coordinator.reserved(), expected) << share;
    }
}

TEST(SlotCoordinatorTest, NeverMoreReservationsThanSlots)
{
    rc::check([] {
        SlotCoordinator coordinator;
        auto slots = *rc::gen::inRange<unsigned>(1, 8);
        auto now = s_now;
        for (int step = 0; step < 100; ++step) {
            now += Common::Milliseconds(*rc::gen::inRange(0, 300));
            auto id = idOf(*rc::gen::inRange<uint64_t>(0, 30), *rc::gen::element<std::string>("a", "b"));
            auto action = *rc::gen::inRange(0, 6);
            if (action < 3)
                coordinator.request({ id, *rc::gen::inRange<size_t>(0, 3), slots, now + 400ms, now + 2s }, now);
            else if (action == 3)
                coordinator.release(id, { *rc::gen::arbitrary<bool>(), 0ms }, now);
            else if (action == 4)
                coordinator.forgetRouter(id.router, now);
            else
                coordinator.setReportedLoad(*rc::gen::inRange<unsigned>(0, 10));
            coordinator.grantWaiting(now);
            RC_ASSERT(coordinator.reserved() <= slots);
        }
        // Nothing is lost: after a pause, all slots but the closed ones can be reserved again.
        now += 1min;
        for (int report = 0; report < 20; ++report)
            coordinator.setReportedLoad(0);
        for (uint64_t sequence = 100; sequence < 100 + slots; ++sequence)
            coordinator.request({ idOf(sequence), 0, slots, now + 60s, now + 60s }, now);
        for (unsigned interval = 0; interval < slots; ++interval)
            coordinator.grantWaiting(now += 2s);
        RC_ASSERT(coordinator.reserved() == slots);
    });
}

TEST(SlotCoordinatorRankingTest, TheRoutersOfGreatestCapacityShareTheUpstreams)
{
    std::vector<SlotCoordinatorRanking::Router> routers;
    routers.reserve(85);
    for (unsigned router = 0; router < 85; ++router)
        routers.push_back({ "r" + std::to_string(router), router < 6 ? 500U : router < 26 ? 300U : 90U });
    SlotCoordinatorRanking ranking;
    ranking.setRouters(routers);
    std::set<std::string> used;
    auto all = [](const auto&) { return true; };
    for (uint32_t upstream = 0; upstream < 300; ++upstream)
        used.insert(ranking.coordinatorOf(upstream, all));
    EXPECT_EQ(used.size(), 9U);
    for (unsigned router = 0; router < 6; ++router)
        EXPECT_TRUE(used.contains("r" + std::to_string(router)));
    // Only the upstreams of a router that is not usable are assigned to others.
    auto others = [](const auto& id) { return id != "r0"; };
    for (uint32_t upstream = 0; upstream < 300; ++upstream) {
        auto before = ranking.coordinatorOf(upstream, all);
        auto after = ranking.coordinatorOf(upstream, others);
        EXPECT_EQ(before == after, before != "r0");
    }
    EXPECT_EQ(ranking.coordinatorOf(7, [](const auto& id) { return id == "r80"; }), "r80");
    EXPECT_EQ(ranking.coordinatorOf(7, [](const auto&) { return false; }), "");
}

} // namespace Brassladder::RouteServing::Routing
