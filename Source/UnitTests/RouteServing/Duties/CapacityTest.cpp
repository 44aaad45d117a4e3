// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Duties/CapacityDemand.h"
#include "RouteServing/Duties/CapacityOrders.h"
#include "RouteServing/Duties/CapacityPlan.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Brassladder::RouteServing::Duties {

using namespace std::chrono_literals;
using Target = CapacityPlan::Target;

namespace {

constexpr Common::TimePoint s_start(1h);

ScalingTerms terms() { return { 1, 40, 4000ms, 0.15, { { "north", 0.85 }, { "south", 1.2 }, { "west", 1.0 } } }; }

std::vector<DomainCapacity> threeDomains(unsigned onDemand, unsigned spot)
{
    std::vector<DomainCapacity> domains;
    for (const char* name : { "north", "south", "west" })
        domains.push_back({ name, onDemand, spot, std::nullopt, std::nullopt });
    return domains;
}

unsigned sum(std::span<const Target> targets, unsigned Target::*kind)
{
    unsigned total = 0;
    for (const auto& target : targets)
        total += target.*kind;
    return total;
}

// A platform that executes each order. Ordered engines serve after `boot`; released engines are removed at once.
struct Platform {
    std::vector<DomainCapacity> domains;

    void perform(const CapacityOrder& order)
    {
        for (auto& domain : domains) {
            if (domain.domain != order.domain)
                continue;
            bool isSpot = order.kind == EngineKind::Spot;
            (isSpot ? domain.orderedSpot : domain.orderedOnDemand) = order.desired;
            auto& servingEngines = isSpot ? domain.spot : domain.onDemand;
            servingEngines = std::min(servingEngines, order.desired);
        }
    }
    void boot()
    {
        for (auto& domain : domains) {
            domain.onDemand = domain.orderedOnDemand.value_or(domain.onDemand);
            domain.spot = domain.orderedSpot.value_or(domain.spot);
        }
    }
    unsigned serving() const
    {
        unsigned total = 0;
        for (const auto& domain : domains)
            total += domain.onDemand + domain.spot;
        return total;
    }
};

} // namespace

TEST(CapacityPlanTest, SpotEnginesCarryTheLoadAfterTheLossOfOneDomain)
{
    CapacityPlan plan(terms());
    auto targets = plan.targets(threeDomains(20, 30), { 60, 60 });
    for (const auto& target : targets)
        EXPECT_EQ(target.spot, 30U);
    EXPECT_EQ(sum(targets, &Target::onDemand), 3U) << "the targets keep one on-demand engine per domain";
}

TEST(CapacityPlanTest, OnDemandEnginesStayUntilSpotEnginesServe)
{
    CapacityPlan plan(terms());
    EXPECT_EQ(sum(plan.targets(threeDomains(20, 0), { 60, 60 }), &Target::onDemand), 60U);
    EXPECT_EQ(sum(plan.targets(threeDomains(20, 10), { 60, 60 }), &Target::onDemand), 30U);
}

TEST(CapacityPlanTest, OnDemandEnginesOfTheCheapestDomainsReplaceLostSpotEngines)
{
    CapacityPlan plan(terms());
    auto domains = threeDomains(1, 30);
    domains[2].spot = 0;
    auto targets = plan.targets(domains, { 80, 80 });
    EXPECT_EQ(sum(targets, &Target::onDemand), 20U);
    EXPECT_EQ(targets[0].onDemand, 10U)
        << "north is cheapest, but its spot engines leave room for only ten on-demand engines";
    EXPECT_EQ(targets[0].spot, 30U);
    EXPECT_EQ(targets[2].onDemand, 9U);
}

TEST(CapacityDemandTest, NeedIsUnknownUntilTheServingCountIsStableAndThenEqualsIt)
{
    CapacityDemand demand(0.15);
    unsigned servingEngines = 0;
    auto now = s_start;
    // The upstream list grows while a new holder receives the announcements of the engines.
    for (; servingEngines < 60; servingEngines += 6, now += 500ms) {
        demand.observe({}, servingEngines, now);
        EXPECT_FALSE(demand.need(now));
    }
    for (int step = 0; step < 5; ++step, now += 500ms)
        demand.observe({}, servingEngines, now);
    EXPECT_EQ(demand.need(now), (CapacityNeed { 60, 60 }));
    // More serving engines do not raise the need.
    demand.observe({}, 120, now + 5s);
    EXPECT_EQ(demand.need(now + 5s), (CapacityNeed { 60, 60 }));
}

// Guards against a need that measures the prompts of every route against the shortest objective of any.
TEST(CapacityDemandTest, PromptsInFrontOfAShortObjectiveNeedMoreEngines)
{
    auto need = [](double tokens, double objectiveSeconds) {
        return CapacityDemand::enginesFor({ 0, tokens / objectiveSeconds, 0.0176, 64 }).prefill;
    };
    EXPECT_NEAR(need(100'000, 0.3), 23.5, 0.1);
    EXPECT_NEAR(need(100'000, 1.5), 4.7, 0.1);
    EXPECT_EQ(CapacityDemand::enginesFor({ 32, 0, 0, 64 }).decode, 1)
        << "half of a batch is for decode-heavy generations";
}

// A load of 100,000 waiting prompt tokens with an objective of 300 ms, at 0.0176 ms each, with a burst of three times
// that for 8 s. The headroom follows within two seconds and persists until the next burst; the sustained need does not
// follow the burst.
TEST(CapacityDemandTest, HeadroomFollowsABurstAndIsKeptForTheNext)
{
    CapacityDemand demand(0.25);
    auto load = [](double tokens) { return EngineLoad { 32, tokens / 0.3, 0.0176, 64 }; };
    EXPECT_NEAR(CapacityDemand::enginesFor(load(100'000)).total(), 24.5, 0.1);
    auto now = s_start;
    auto observeFor = [&](double tokens, Common::Milliseconds time) {
        for (auto end = now + time; now < end; now += 500ms)
            demand.observe(load(tokens), 60, now);
    };
    observeFor(100'000, 15s);
    EXPECT_EQ(demand.need(now), (CapacityNeed { 25, 60 })) << "the initial number of engines is the minimum";
    observeFor(100'000, 61s);
    EXPECT_EQ(demand.need(now), (CapacityNeed { 25, 49 }));
    observeFor(300'000, 2s);
    EXPECT_GE(demand.need(now)->withHeadroom, 2 * 60U);
    observeFor(300'000, 6s);
    EXPECT_EQ(demand.need(now), (CapacityNeed { 25, 143 }));
    observeFor(100'000, 10s);
    EXPECT_EQ(demand.need(now), (CapacityNeed { 25, 143 }));
    observeFor(100'000, 60s);
    EXPECT_EQ(demand.need(now), (CapacityNeed { 25, 49 }));
    observeFor(300'000, 15s);
    EXPECT_EQ(demand.need(now)->sustained, 72U) << "a load of 15 s counts as sustained";
}

// For any need and state, the ordered numbers of a domain never exceed `max`, whichever orders are accepted.
TEST(CapacityPlanTest, OrdersStayWithinMax)
{
    EXPECT_TRUE(rc::check([] {
        ScalingTerms randomTerms;
        randomTerms.max = *rc::gen::inRange(1U, 50U);
        randomTerms.min = *rc::gen::inRange(0U, randomTerms.max + 1);
        randomTerms.spotPrice = *rc::gen::element(0.0, 0.15, 1.0, 2.0);
        Platform platform;
        for (const char* name : { "a", "b", "c", "d" }) {
            auto onDemand = *rc::gen::inRange(0U, randomTerms.max + 1);
            auto spot = *rc::gen::inRange(0U, randomTerms.max + 1 - onDemand);
            platform.domains.push_back({ name, onDemand, spot, std::nullopt, std::nullopt });
        }
        CapacityPlan plan(randomTerms);
        for (int round = 0; round < 6; ++round) {
            auto needed = *rc::gen::inRange(0U, 400U);
            auto withHeadroom = *rc::gen::inRange(0U, 400U);
            auto targets = plan.targets(platform.domains, { needed, withHeadroom });
            for (const auto& order : plan.orders("s", platform.domains, targets)) {
                if (!*rc::gen::arbitrary<bool>())
                    continue;
                platform.perform(order);
                for (const auto& domain : platform.domains) {
                    if (!domain.orderedOnDemand || !domain.orderedSpot)
                        continue;
                    auto total = *domain.orderedOnDemand + *domain.orderedSpot;
                    RC_ASSERT(total <= randomTerms.max);
                    RC_ASSERT(*domain.orderedOnDemand <= randomTerms.max && *domain.orderedSpot <= randomTerms.max);
                }
            }
            platform.boot();
        }
    }));
}

// Guards against long responses that are not counted because they run beside long prompts.
TEST(CapacityDemandTest, EachGenerationTakesASlot)
{
    EngineLoad load { 32, 0, 0.02, 64, 32 };
    EXPECT_DOUBLE_EQ(CapacityDemand::enginesFor(load).total(), 1);
    load.requests = 96;
    EXPECT_DOUBLE_EQ(CapacityDemand::enginesFor(load).total(), 2);
}

// Guards against the first order of a domain that takes effect although the second one, which makes room for it, is
// refused: then both kinds together exceeded `max`.
TEST(CapacityPlanTest, OrdersStayWithinMinAndMaxIfOnlyOneOfThemIsAccepted)
{
    auto domainWith = [](unsigned onDemand, unsigned spot) {
        return std::vector<DomainCapacity> { { "north", onDemand, spot, onDemand, spot } };
    };
    for (unsigned max : { 4U, 10U, 40U }) {
        for (unsigned min = 0; min <= max; min += 2) {
            ScalingTerms domainTerms { min, max, 4000ms, 0.15, {} };
            for (unsigned onDemand = 0; onDemand <= max; ++onDemand) {
                for (unsigned spot = min - std::min(min, onDemand); onDemand + spot <= max; ++spot) {
                    CapacityPlan plan(domainTerms);
                    auto domains = domainWith(onDemand, spot);
                    for (CapacityNeed need : { CapacityNeed {}, { 20, 0 }, { 0, 20 }, { 20, 20 } }) {
                        auto orders = plan.orders("s", domains, plan.targets(domains, need));
                        for (const auto& order : orders) {
                            auto other = order.kind == EngineKind::Spot ? onDemand : spot;
                            ASSERT_LE(order.desired + other, max) << min << ' ' << onDemand << ' ' << spot;
                            ASSERT_GE(order.desired + other, min) << max << ' ' << onDemand << ' ' << spot;
                        }
                    }
                }
            }
        }
    }
}

// Guards against a log line and metrics that do not explain the ordered number.
TEST(CapacityPlanTest, ThePartsAddUpToTheTargets)
{
    CapacityPlan plan(terms());
    CapacityNeed need { 18, 40 };
    auto parts = CapacityPlan::partsOf(plan.targets(threeDomains(1, 20), need), need, { 12, 8 });
    EXPECT_EQ(parts.wanted, 63U);
    EXPECT_EQ(parts.headroom, 20);
    EXPECT_EQ(parts.reserve, 23);
    EXPECT_EQ(parts.prefill + parts.decode + parts.headroom + parts.reserve, parts.wanted);
    need.withHeadroom = 400;
    parts = CapacityPlan::partsOf(plan.targets(threeDomains(1, 39), need), need, { 12, 8 });
    EXPECT_EQ(parts.wanted, 120U) << "the maximum";
    EXPECT_EQ(parts.headroom, 100);
    EXPECT_EQ(parts.reserve, 0);
}

// Guards against a bound of one kind that ignores accepted or unanswered engines of the other kind because they do not
// serve yet.
TEST(CapacityPlanTest, EnginesThatMayYetAppearCountTowardsMax)
{
    CapacityPlan plan(terms());
    CapacityOrders orders(4000ms);
    std::vector<DomainCapacity> domains { { "north", 10, 5, std::nullopt, std::nullopt } };
    auto highestOnDemand = [&](Common::TimePoint now) {
        orders.setOrderedNumbers("s", domains, now);
        unsigned highest = 0;
        for (const auto& order : plan.orders("s", domains, std::array { Target { 40, 0 } })) {
            if (order.kind == EngineKind::OnDemand)
                highest = std::max(highest, order.desired);
        }
        return highest;
    };
    EXPECT_EQ(highestOnDemand(s_start), 35U);
    orders.record({ "s", "north", EngineKind::Spot, 20 }, 1, CapacityOrders::Outcome::Accepted, s_start);
    EXPECT_EQ(highestOnDemand(s_start + 60s), 20U) << "20 are accepted, although only 5 have appeared";
    orders.record({ "s", "north", EngineKind::Spot, 25 }, 1, CapacityOrders::Outcome::NoResponse, s_start);
    EXPECT_EQ(highestOnDemand(s_start + 60s), 15U) << "25 may still be executed";
}

// Under a constant load, the orders converge, and the number of serving engines never falls below the need.
TEST(CapacityPlanTest, ConvergesWithoutDroppingBelowTheNeed)
{
    CapacityPlan plan(terms());
    Platform platform { threeDomains(20, 0) };
    size_t ordersInLastRound = 1;
    for (int round = 0; round < 8; ++round) {
        auto orders = plan.orders("s", platform.domains, plan.targets(platform.domains, { 60, 60 }));
        for (const auto& order : orders)
            platform.perform(order);
        EXPECT_GE(platform.serving(), 60U) << round;
        platform.boot();
        ordersInLastRound = orders.size();
    }
    EXPECT_EQ(ordersInLastRound, 0U);
    EXPECT_EQ(platform.domains[0].onDemand, 1U);
    EXPECT_EQ(platform.domains[0].spot, 30U);
}

// A need that varies by about a tenth for ten minutes causes no orders after the first rounds.
TEST(CapacityPlanTest, SmallVariationsOfTheNeedCauseNoOrders)
{
    CapacityPlan plan(terms());
    Platform platform { threeDomains(20, 0) };
    size_t orders = 0;
    for (unsigned round = 0; round < 1200; ++round) {
        CapacityNeed need { 50 + round % 3, 57 + round * 7 % 6 };
        for (const auto& order : plan.orders("s", platform.domains, plan.targets(platform.domains, need))) {
            platform.perform(order);
            orders += round >= 10;
        }
        platform.boot();
    }
    EXPECT_EQ(orders, 0U);
}

TEST(CapacityPlanTest, ManyEnginesAreReplacedInSteps)
{
    auto highMaxTerms = terms();
    highMaxTerms.max = 2000;
    CapacityPlan plan(highMaxTerms);
    Platform platform { threeDomains(1000, 0) };
    auto before = platform.domains;
    for (int round = 0; round < 60; ++round) {
        for (const auto& order : plan.orders("s", platform.domains, plan.targets(platform.domains, { 3000, 3000 })))
            platform.perform(order);
        platform.boot();
        for (size_t index = 0; index < before.size(); ++index) {
            EXPECT_LE(platform.domains[index].spot, before[index].spot + 60);
            EXPECT_GE(platform.domains[index].onDemand + 60, before[index].onDemand);
        }
        EXPECT_GE(platform.serving(), 3000U);
        before = platform.domains;
    }
    EXPECT_EQ(platform.domains[0].spot, 1500U);
    EXPECT_EQ(platform.domains[0].onDemand, 1U);
}

TEST(CapacityOrdersTest, DifferentOrderAfterAnUnansweredOneNeedsANewToken)
{
    CapacityOrders orders(4000ms);
    CapacityOrder six { "s", "north", EngineKind::Spot, 6 };
    CapacityOrder nine { "s", "north", EngineKind::Spot, 9 };
    EXPECT_FALSE(orders.next(std::array { six }, 5, s_start)->needsNewToken);
    orders.record(six, 5, CapacityOrders::Outcome::NoResponse, s_start);
    EXPECT_FALSE(orders.next(std::array { six }, 5, s_start)) << "the order is not retried before the delay ends";
    auto later = s_start + 1s;
    EXPECT_FALSE(orders.next(std::array { six }, 5, later)->needsNewToken) << "the same number may be repeated";
    EXPECT_TRUE(orders.next(std::array { nine }, 5, later)->needsNewToken);
    EXPECT_FALSE(orders.next(std::array { nine }, 6, later)->needsNewToken);
    orders.record(nine, 6, CapacityOrders::Outcome::Accepted, later);
    EXPECT_FALSE(orders.next(std::array { six }, 6, later)->needsNewToken) << "the platform now rejects the late order";
}

TEST(CapacityOrdersTest, DomainWithoutCapacityIsSkippedUntilItsRetryDelayEnds)
{
    CapacityOrders orders(4000ms);
    CapacityOrder north { "s", "north", EngineKind::Spot, 6 };
    CapacityOrder south { "s", "south", EngineKind::Spot, 6 };
    orders.record(north, 1, CapacityOrders::Outcome::NoCapacity, s_start);
    const std::array both { north, south };
    EXPECT_EQ(orders.next(both, 1, s_start + 1s)->order, south);
    EXPECT_EQ(orders.next(both, 1, s_start + 2s)->order, north);
}

// Guards against an order that is repeated at a constant rate while the domain has no engines to give.
TEST(CapacityOrdersTest, TheRetryDelayOfADomainWithoutCapacityGrowsToABound)
{
    CapacityOrders orders(4000ms);
    CapacityOrder north { "s", "north", EngineKind::Spot, 6 };
    auto now = s_start;
    for (auto delay : { 2000ms, 4000ms, 8000ms, 8000ms }) {
        orders.record(north, 1, CapacityOrders::Outcome::NoCapacity, now);
        EXPECT_EQ(orders.retryDelay(north, now), delay);
        EXPECT_FALSE(orders.next(std::array { north }, 1, now + delay - 1ms));
        now += delay;
        EXPECT_TRUE(orders.next(std::array { north }, 1, now));
    }
    CapacityOrder fewer { "s", "north", EngineKind::Spot, 5 };
    orders.record(north, 1, CapacityOrders::Outcome::NoCapacity, now);
    EXPECT_TRUE(orders.next(std::array { fewer }, 1, now)) << "the domain may have that many";
    orders.record(fewer, 1, CapacityOrders::Outcome::NoCapacity, now);
    EXPECT_EQ(orders.retryDelay(fewer, now), 2000ms) << "a smaller number resets the delay";
    now += 2000ms;
    orders.record(fewer, 1, CapacityOrders::Outcome::Accepted, now);
    EXPECT_EQ(orders.retryDelay(north, now), 0ms);
    orders.record(north, 1, CapacityOrders::Outcome::NoCapacity, now);
    EXPECT_EQ(orders.retryDelay(north, now), 2000ms) << "an accepted order resets the delay";
}

// Guards against a smaller number that is sent without a pause after a failure that is not about capacity.
TEST(CapacityOrdersTest, AFailedOrderIsDelayedWhateverItsNumber)
{
    CapacityOrders orders(4000ms);
    orders.record({ "s", "north", EngineKind::Spot, 6 }, 1, CapacityOrders::Outcome::NotPerformed, s_start);
    EXPECT_FALSE(orders.next(std::array { CapacityOrder { "s", "north", EngineKind::Spot, 5 } }, 1, s_start));
}

// Guards against engines that are missing for as long as one domain has none, and against engines that the others
// release before those of the domain serve.
TEST(CapacityOrdersTest, OtherDomainsProvideTheSpotEnginesThatADomainLacks)
{
    CapacityPlan plan(terms());
    CapacityOrders orders(4000ms);
    auto domains = threeDomains(1, 0);
    CapacityNeed need { 0, 40 };
    orders.record({ "s", "north", EngineKind::Spot, 20 }, 1, CapacityOrders::Outcome::NoCapacity, s_start);
    auto spotTargets = [&](Common::TimePoint now) {
        orders.setOrderedNumbers("s", domains, now);
        std::vector<unsigned> numbers;
        for (const auto& target : plan.targets(domains, need))
            numbers.push_back(target.spot);
        return numbers;
    };
    EXPECT_EQ(spotTargets(s_start), (std::vector<unsigned> { 20, 30, 30 })) << "north is asked again";
    need.withHeadroom = 70;
    EXPECT_EQ(spotTargets(s_start), (std::vector<unsigned> { 35, 39, 39 })) << "no domain exceeds its maximum";
    need.withHeadroom = 40;
    auto accepted = s_start + 8s;
    orders.record({ "s", "north", EngineKind::Spot, 20 }, 1, CapacityOrders::Outcome::Accepted, accepted);
    EXPECT_EQ(spotTargets(accepted + 4s), (std::vector<unsigned> { 20, 30, 30 })) << "the engines of north are booting";
    domains[0].spot = 20;
    EXPECT_EQ(spotTargets(accepted + 5s), (std::vector<unsigned> { 20, 20, 20 }));
}

// Guards against a sustained need that stays uncovered because the cheapest domain has no on-demand engines, and
// against booting engines that are released when further ones are refused.
TEST(CapacityOrdersTest, OtherDomainsProvideTheOnDemandEnginesThatADomainLacks)
{
    CapacityPlan plan(terms());
    CapacityOrders orders(4000ms);
    auto domains = threeDomains(1, 0);
    CapacityNeed need { 13, 0 };
    auto onDemandTargets = [&](Common::TimePoint now) {
        orders.setOrderedNumbers("s", domains, now);
        std::vector<unsigned> numbers;
        for (const auto& target : plan.targets(domains, need))
            numbers.push_back(target.onDemand);
        return numbers;
    };
    EXPECT_EQ(onDemandTargets(s_start), (std::vector<unsigned> { 11, 1, 1 })) << "north is cheapest";
    orders.record({ "s", "north", EngineKind::OnDemand, 5 }, 1, CapacityOrders::Outcome::Accepted, s_start);
    orders.record({ "s", "north", EngineKind::OnDemand, 11 }, 1, CapacityOrders::Outcome::NoCapacity, s_start);
    EXPECT_EQ(onDemandTargets(s_start), (std::vector<unsigned> { 5, 1, 7 })) << "west is the next cheapest domain";
    EXPECT_EQ(onDemandTargets(s_start + 2s), (std::vector<unsigned> { 11, 1, 1 })) << "north is asked again";
}

TEST(CapacityOrdersTest, NumberThatTheUpstreamListDoesNotReachIsOrderedAgain)
{
    CapacityOrders orders(4000ms);
    orders.record({ "s", "north", EngineKind::Spot, 6 }, 1, CapacityOrders::Outcome::Accepted, s_start);
    std::vector<DomainCapacity> domains { { "north", 0, 5, std::nullopt, std::nullopt } };
    orders.setOrderedNumbers("s", domains, s_start + 7s);
    EXPECT_EQ(domains[0].orderedSpot, 6U);
    orders.setOrderedNumbers("s", domains, s_start + 7001ms);
    EXPECT_FALSE(domains[0].orderedSpot);
    domains[0].spot = 6;
    orders.setOrderedNumbers("s", domains, s_start + 8s);
    EXPECT_EQ(domains[0].orderedSpot, 6U);
}

} // namespace Brassladder::RouteServing::Duties
