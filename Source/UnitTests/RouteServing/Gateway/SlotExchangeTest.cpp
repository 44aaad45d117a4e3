// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/SlotExchange.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;
using Inner::Wire::Item;

namespace {

constexpr Common::TimePoint s_now(1h);
constexpr uint32_t s_upstream = 7;

// Routers whose messages are delivered at once, or dropped.
struct Routers {
    explicit Routers(size_t count)
    {
        std::vector<Routing::SlotCoordinatorRanking::Router> fleet;
        fleet.reserve(count);
        for (size_t index = 0; index < count; ++index)
            fleet.push_back({ "r" + std::to_string(index), 0 });
        ranking.setRouters(fleet);
        for (size_t index = 0; index < count; ++index) {
            auto id = fleet[index].id;
            auto& exchange = *exchanges.emplace(id, std::make_unique<SlotExchange>(id)).first->second;
            exchange.setIncarnation(index + 1);
            exchange.setClock([this] { return now; });
            exchange.setRouters(fleet);
            exchange.setSend([this, id, index](const auto& to, auto item) {
                if (silent.contains(to))
                    return;
                exchanges.at(to)->receive({ id, index + 1 }, item, now);
            });
            SlotExchange::FleetView view;
            view.reportedLoad = [](uint32_t) { return 0U; };
            view.fragileSince = [this](uint32_t) { return std::optional(now); };
            exchange.step(view, now);
        }
    }

    std::string coordinator(const std::set<std::string>& without = {}) const
    {
        return ranking.coordinatorOf(s_upstream, [&](const auto& id) { return !without.contains(id); });
    }
    // Returns a router that does not coordinate the upstream.
    SlotExchange& other()
    {
        return *std::find_if(exchanges.begin(), exchanges.end(), [&](auto& each) {
            return each.first != coordinator();
        })->second;
    }
    std::optional<SlotExchange::Outcome> reserve(SlotExchange& exchange)
    {
        auto sequence = exchange.begin({ s_upstream, 1, 0, now + 60ms, now + 600ms }, now);
        return std::move(exchange.advance(sequence, now).outcome);
    }

    Common::TimePoint now { s_now };
    std::set<std::string> silent;
    Routing::SlotCoordinatorRanking ranking;
    std::map<std::string, std::unique_ptr<SlotExchange>> exchanges;
};

bool isGranted(const std::optional<SlotExchange::Outcome>& outcome)
{
    return outcome && std::holds_alternative<SlotReservation>(*outcome);
}

} // namespace

TEST(SlotExchangeTest, AReservationIsReleasedWithItsObject)
{
    Routers routers(3);
    auto held = routers.reserve(routers.other());
    EXPECT_TRUE(isGranted(held));
    EXPECT_EQ(routers.exchanges.at(routers.coordinator())->summary().reserved, 1U);
    held.reset();
    EXPECT_EQ(routers.exchanges.at(routers.coordinator())->summary().reserved, 0U);
    EXPECT_TRUE(isGranted(routers.reserve(routers.other())));
}

TEST(SlotExchangeTest, ARouterThatKnowsNoOtherCoordinatesItself)
{
    SlotExchange alone("r0");
    auto sequence = alone.begin({ s_upstream, 1, 0, s_now + 60ms, s_now + 600ms }, s_now);
    EXPECT_TRUE(isGranted(alone.advance(sequence, s_now).outcome));
}

TEST(SlotExchangeTest, AWaitingRequestGetsTheSlotThatBecomesFree)
{
    Routers routers(3);
    auto held = routers.reserve(routers.other());
    auto& waiting = *routers.exchanges.at(routers.coordinator());
    auto sequence = waiting.begin({ s_upstream, 1, 0, s_now + 60ms, s_now + 600ms }, s_now);
    EXPECT_FALSE(waiting.advance(sequence, s_now).outcome);
    held.reset();
    EXPECT_TRUE(isGranted(waiting.advance(sequence, s_now).outcome));
}

TEST(SlotExchangeTest, TheNextCoordinatorIsAskedIfTheFirstIsSilentOrGone)
{
    for (bool isGone : { false, true }) {
        Routers routers(7);
        auto& exchange = routers.other();
        routers.silent.insert(routers.coordinator());
        auto sequence = exchange.begin({ s_upstream, 1, 0, s_now + 1s, s_now + 2s }, s_now);
        EXPECT_FALSE(exchange.advance(sequence, s_now).outcome);
        if (isGone)
            exchange.recordUnreachable(routers.coordinator(), s_now);
        else
            routers.now += 150ms;
        // Asks the next one, whose reply arrives before the call returns.
        if (!isGone) {
            EXPECT_FALSE(exchange.advance(sequence, routers.now).outcome);
        }
        EXPECT_TRUE(isGranted(exchange.advance(sequence, routers.now).outcome)) << isGone;
    }
}

// Otherwise two routers would coordinate one upstream until all routers have returned to the first one.
TEST(SlotExchangeTest, ARouterThatHearsFromTheFirstCoordinatorSendsRequestsThere)
{
    Routers routers(7);
    auto first = routers.coordinator();
    auto second = routers.coordinator({ first });
    auto& exchange = routers.other();
    exchange.recordUnreachable(first, s_now);
    auto held = routers.reserve(*routers.exchanges.at(first));
    ASSERT_TRUE(isGranted(held));
    // The asker takes the first coordinator for unreachable, and asks the second one.
    routers.silent.insert(first);
    auto sequence = exchange.begin({ s_upstream, 1, 0, s_now + 60ms, s_now + 600ms }, s_now);
    routers.now += 150ms;
    routers.silent.clear();
    routers.exchanges.at(second)->recordContact(first, routers.now);
    exchange.advance(sequence, routers.now);
    EXPECT_EQ(routers.exchanges.at(second)->summary().reserved, 0U);
    EXPECT_EQ(routers.exchanges.at(first)->summary().reserved, 1U);
}

// Guards against callers that are refused long after the wait for their slot has ended.
TEST(SlotExchangeTest, ARequestIsLookedAtAgainAtTheEndOfItsWait)
{
    Routers routers(3);
    auto& exchange = routers.other();
    auto held = routers.reserve(*routers.exchanges.at(routers.coordinator()));
    routers.silent.insert(routers.coordinator());
    SlotExchange::Order order { s_upstream, 1, 0, s_now + 60ms, s_now + 600ms };
    auto unanswered = exchange.begin(order, s_now);
    EXPECT_EQ(exchange.advance(unanswered, s_now).next, s_now + 60ms);
    EXPECT_EQ(exchange.advance(unanswered, s_now + 60ms).next, s_now + 150ms);
    routers.silent.clear();
    auto queued = exchange.begin(order, s_now);
    EXPECT_EQ(exchange.advance(queued, s_now).next, s_now + 60ms);
    EXPECT_TRUE(exchange.advance(queued, s_now + 60ms).outcome) << "denied";
}

TEST(SlotExchangeTest, NoSlotIsUsedAfterTheDeadlineOfItsRequest)
{
    Routers routers(3);
    auto& exchange = routers.other();
    auto sequence = exchange.begin({ s_upstream, 1, 0, s_now + 60ms, s_now + 600ms }, s_now);
    EXPECT_FALSE(isGranted(exchange.advance(sequence, s_now + 600ms).outcome)) << "the process was paused";
}

// Guards against slots that stay reserved for requests that nobody sends.
TEST(SlotExchangeTest, AGrantThatComesTooLateIsGivenBack)
{
    Routers routers(3);
    auto& exchange = routers.other();
    auto held = routers.reserve(*routers.exchanges.at(routers.coordinator()));
    auto sequence = exchange.begin({ s_upstream, 1, 0, s_now + 60ms, s_now + 600ms }, s_now);
    // The withdrawal is lost.
    routers.silent.insert(routers.coordinator());
    EXPECT_TRUE(exchange.advance(sequence, s_now + 60ms).outcome) << "denied";
    routers.silent.clear();
    held.reset();
    EXPECT_EQ(routers.exchanges.at(routers.coordinator())->summary().reserved, 0U);
}

TEST(SlotExchangeTest, ARestartedRouterFreesTheSlotsOfItsEarlierProcess)
{
    Routers routers(3);
    auto& coordinator = *routers.exchanges.at(routers.coordinator());
    routers.silent.insert("elsewhere");
    Item item;
    item.mutable_slot_request()->set_upstream(s_upstream);
    item.mutable_slot_request()->set_sequence(1);
    item.mutable_slot_request()->set_slots(1);
    item.mutable_slot_request()->set_wait_ms(1000);
    item.mutable_slot_request()->set_run_ms(9000);
    coordinator.receive({ "elsewhere", 1 }, item, s_now);
    EXPECT_EQ(coordinator.summary().reserved, 1U);
    coordinator.receive({ "elsewhere", 2 }, item, s_now + 1ms);
    EXPECT_EQ(coordinator.summary().waiting, 1U);
    SlotExchange::FleetView view;
    view.reportedLoad = [](uint32_t) { return 0U; };
    coordinator.step(view, s_now + 301ms);
    EXPECT_EQ(coordinator.summary().waiting, 0U);
    EXPECT_EQ(coordinator.summary().reserved, 1U);
}

} // namespace Brassladder::RouteServing::Gateway
