// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/OverloadGate.h"
#include "UnitTests/TestRuntime.h"

#include <atomic>
#include <gtest/gtest.h>
#include <thread>

// Tests what the gate does with requests, on the real clock. All time limits are far away, so no outcome depends on
// the speed of the test.
namespace Brassladder::RouteServing::Gateway {

using Common::ErrorKind;
using namespace std::chrono_literals;

namespace {

// One engine of one slot, and a peer whose generations it is full with.
struct OverloadedRouter {
    explicit OverloadedRouter(OverloadGate::Settings settings = { true, 10 })
        : gate(registry, settings)
    {
        engine.batch = 1;
        prompt.tokens = 1000;
        prompt.maxOutputTokens = 100;
        prompt.parts = { { 1, 1000 } };
        route.name = "records";
        route.timeout = 10h;
        route.objective = 1h;
        registry.setUpstreams({ { "e0", "model", { "127.0.0.1", 1 }, "north", 1, false } });
        observeFirstEvent();
        report(100'000);
    }

    // Shows the registry a pace of 0.1 ms for each token.
    void observeFirstEvent()
    {
        Routing::UpstreamRegistry::PlacementRequest request;
        request.service = "model";
        request.prompt = &prompt;
        request.engine = { 1, false };
        auto now = Common::now();
        request.due = now + 1h;
        auto placement = registry.choose(request, now - 100ms);
        registry.recordStart(*placement);
        registry.recordPrefillDone(*placement, now);
    }

    // The report does not expire during the test, since its time lies ahead.
    void report(uint64_t waitingPrefillTokens, uint64_t waiting = 50)
    {
        Routing::QueueKey key { Routing::shortHash("model"), 0 };
        gate.queues().recordSubscriber(
            "peer", { { key, { waiting, waitingPrefillTokens, 1, 100, 0 } } }, Common::now() + 1h);
    }

    OverloadGate::Generation generation(Common::Milliseconds timeout) const
    {
        auto now = Common::now();
        return { "r1", route, nullptr, "model", engine, prompt, 1, now, now + timeout };
    }

    std::optional<Routing::Refusal> awaitCapacity(Common::Milliseconds timeout)
    {
        std::optional<Routing::Refusal> refusal;
        testRuntime().call(
            [&] { refusal = gate.awaitCapacity(generation(timeout), [&] { return isAbandoned.load(); }); });
        return refusal;
    }

    // Holds a request, calls the function, and returns what the request gets.
    std::optional<Routing::Refusal> holdUntil(const std::function<void()>& function)
    {
        report(1'000'000'000);
        gate.recordRejection(generation(10h), 1s);
        std::optional<Routing::Refusal> refusal;
        std::thread caller([&] { refusal = awaitCapacity(10h); });
        Routing::QueueKey key { Routing::shortHash("model"), 1 };
        while (!gate.queues().own(Common::now()).contains(key))
            std::this_thread::sleep_for(1ms);
        EXPECT_EQ(gate.queues().own(Common::now()).at(key).held, 1u);
        function();
        caller.join();
        EXPECT_TRUE(gate.queues().own(Common::now()).empty());
        return refusal;
    }

    Routing::UpstreamRegistry registry { "north" };
    Routing::EngineTraits engine;
    Routing::Prompt prompt;
    Routing::Route route;
    OverloadGate gate;
    std::atomic<bool> isAbandoned { false };
};

} // namespace

// The caller learns when to return, within the time that it still has.
TEST(OverloadGateTest, ABacklogBeyondTheDeadlineIsRefused)
{
    OverloadedRouter router;
    router.report(1'000'000'000);
    router.route.timeout = 60s;
    auto refusal = router.awaitCapacity(60s);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->kind, ErrorKind::NoCapacity);
    EXPECT_GE(refusal->retryAfter, 1s);
    EXPECT_LE(refusal->retryAfter, 20s);
}

TEST(OverloadGateTest, ABacklogThatLeavesTimeIsNotRefused)
{
    OverloadedRouter router;
    router.report(100'000, 0);
    EXPECT_FALSE(router.awaitCapacity(10h));
}

// The loads of a fleet that has just started are unknown, and an unknown load must not refuse anyone.
TEST(OverloadGateTest, NothingIsRefusedWhileTheFleetIsUnknown)
{
    for (std::optional<size_t> routers : { std::optional<size_t>(), std::optional<size_t>(9) }) {
        OverloadedRouter router;
        router.report(1'000'000'000);
        router.gate.setFleetCoverage([=] { return OverloadGate::FleetCoverage { routers, 1 }; });
        EXPECT_FALSE(router.awaitCapacity(60s));
    }
}

TEST(OverloadGateTest, TheSettingSwitchesThePolicyOff)
{
    OverloadedRouter router({ false, 10 });
    router.report(1'000'000'000);
    EXPECT_FALSE(router.awaitCapacity(60s));
    EXPECT_EQ(router.gate.recordRejection(router.generation(60s), 50ms), 50ms);
    auto outstanding = router.gate.begin(router.generation(60s), 1000, false);
    EXPECT_TRUE(router.gate.queues().own(Common::now()).empty());
}

TEST(OverloadGateTest, TheShareRuleRefusesItsWorkspaces)
{
    OverloadedRouter router;
    Routing::Workspace workspace { "acme" };
    auto generation = router.generation(10h);
    generation.workspace = &workspace;
    router.gate.setShareRule([](uint32_t service, uint32_t name, size_t rank, auto) {
        return service == Routing::shortHash("model") && name == Routing::shortHash("acme") && rank == 1;
    });
    std::optional<Routing::Refusal> refusal;
    testRuntime().call([&] { refusal = router.gate.awaitCapacity(generation, [] { return false; }); });
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->kind, ErrorKind::NoCapacity);
}

TEST(OverloadGateTest, APlannedStopRefusesWhatIsHeld)
{
    OverloadedRouter router;
    auto refusal = router.holdUntil([&] { router.gate.stop(); });
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->kind, ErrorKind::Draining);
}

TEST(OverloadGateTest, AHeldRequestIsDroppedWhenItsCallerDisconnects)
{
    OverloadedRouter router;
    auto refusal = router.holdUntil([&] { router.isAbandoned = true; });
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->kind, ErrorKind::CallerGone);
}

TEST(OverloadGateTest, AnOutstandingGenerationIsCountedWhileItExists)
{
    OverloadedRouter router;
    Routing::QueueKey key { Routing::shortHash("model"), 1 };
    {
        auto first = router.gate.begin(router.generation(60s), 700, false);
        EXPECT_EQ(router.gate.queues().own(Common::now()).at(key), (Routing::QueueLoad { 1, 700, 0, 50, 0 }));
        auto moved = std::move(first);
        moved.recordFirstEvent(Common::now());
        EXPECT_EQ(router.gate.queues().own(Common::now()).at(key).running, 1u);
    }
    EXPECT_TRUE(router.gate.queues().own(Common::now()).empty());
}

// The constant remains while no backlog is known.
TEST(OverloadGateTest, ARejectedCallerReturnsWhenTheBacklogHasEnded)
{
    OverloadedRouter router;
    auto delay = router.gate.recordRejection(router.generation(90s), 50ms);
    EXPECT_GE(delay, 10s);
    EXPECT_LE(delay, 30s);
    OverloadedRouter idle;
    idle.gate.setFleetCoverage([] { return OverloadGate::FleetCoverage {}; });
    EXPECT_EQ(idle.gate.recordRejection(idle.generation(90s), 50ms), 50ms);
}

} // namespace Brassladder::RouteServing::Gateway
