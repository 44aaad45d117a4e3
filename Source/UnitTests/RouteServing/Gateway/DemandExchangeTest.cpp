// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/DemandExchange.h"
#include "RouteServing/Gateway/DemandRecord.h"
#include "RouteServing/Routing/Upstream.h"
#include "UnitTests/RouteServing/Gateway/DemandFleet.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;
using Routing::WorkspaceShares;

namespace {

constexpr Common::TimePoint s_start(1h);

// 24 workspaces, of which the first requests six times its usual. `load` is all requested work as a multiple of the
// capacity.
DemandFleet::Options hotWorkspace(double load, unsigned seed = 1)
{
    DemandFleet::Options options;
    options.workspaces.assign(24, 1);
    options.workspaces[0] = 6;
    options.load = load * 24 / 29;
    options.seed = seed;
    return options;
}

WorkspaceShares::Work work(std::string_view workspace, uint64_t tokens) { return { "records", workspace, 0, tokens }; }

} // namespace

// Guards against a hot workspace that takes capacity from the others. Loads from half to three times the capacity.
TEST(DemandFleetTest, TheOthersKeepTheirSharesAtAnyLoad)
{
    unsigned seed = 1;
    for (double load : { 0.5, 0.9, 1.0, 1.05, 1.1, 1.15, 1.2, 1.25, 1.3, 1.5, 2.0, 3.0 }) {
        DemandFleet fleet(hotWorkspace(load, ++seed));
        fleet.runFor(10s);
        fleet.resetCounts();
        fleet.runFor(60s);
        SCOPED_TRACE("load " + std::to_string(load));
        EXPECT_GE(fleet.meanKeptPart(1), 0.97);
        EXPECT_GE(fleet.utilization(), std::min(1.0, load) - 0.02);
    }
}

// The comparison: without shares, each workspace is refused the same part.
TEST(DemandFleetTest, WithoutSharesTheOthersLose)
{
    auto options = hotWorkspace(1.2);
    options.usesShares = false;
    DemandFleet fleet(options);
    fleet.runFor(10s);
    fleet.resetCounts();
    fleet.runFor(60s);
    EXPECT_LT(fleet.meanKeptPart(1), 0.9);
}

// Guards against shares that depend on fresh views: here the sums are about 0.5 s and 3 s old.
TEST(DemandFleetTest, StaleViewsKeepShares)
{
    for (auto latency : { 170ms, 1000ms }) {
        for (double load : { 1.1, 1.3, 2.0 }) {
            auto options = hotWorkspace(load);
            options.latency = latency;
            DemandFleet fleet(options);
            fleet.runFor(10s);
            fleet.resetCounts();
            fleet.runFor(60s);
            SCOPED_TRACE("load " + std::to_string(load) + ", latency " + std::to_string(latency.count()));
            EXPECT_GE(fleet.meanKeptPart(1), 0.97);
        }
    }
}

// Guards against limits while there is room, for different fleets and seeds, also if the admission always asks.
TEST(DemandFleetTest, NothingIsLimitedWhileThereIsRoom)
{
    for (unsigned seed = 1; seed <= 12; ++seed) {
        auto options = hotWorkspace(0.3 + 0.05 * seed, seed);
        options.routers = 5 + 13 * seed;
        options.alwaysAsks = true;
        DemandFleet fleet(options);
        fleet.runFor(20s);
        for (const auto& count : fleet.counts())
            EXPECT_EQ(count.requested, count.admitted) << "seed " << seed;
    }
}

// Guards against limits from the first requests, and against a start that never reaches fair shares.
TEST(DemandFleetTest, AllRoutersStartedAtOnceReachFairShares)
{
    DemandFleet fleet(hotWorkspace(1.5));
    fleet.runFor(2s);
    for (const auto& count : fleet.counts())
        EXPECT_EQ(count.refusedOverShare, 0);
    fleet.runFor(6s);
    fleet.resetCounts();
    fleet.runFor(20s);
    EXPECT_GE(fleet.meanKeptPart(1), 0.97);
}

// Guards against a hot workspace that profits until old demand has decayed, and a share that is kept for one that has
// stopped.
TEST(DemandFleetTest, AWorkspaceThatAppearsOrStopsChangesSharesWithinSeconds)
{
    auto options = hotWorkspace(1.3);
    options.workspaces[0] = 1;
    DemandFleet fleet(options);
    fleet.runFor(20s);
    fleet.setDemand(0, 12);
    fleet.runFor(5s);
    fleet.resetCounts();
    fleet.runFor(20s);
    EXPECT_GE(fleet.meanKeptPart(1), 0.97);
    fleet.setDemand(0, 0);
    fleet.resetCounts();
    fleet.runFor(3s);
    EXPECT_GE(fleet.utilization(), 0.95) << "the others get what it leaves at once";
}

// Guards against tables that are lost or counted twice when a hub ends.
TEST(DemandFleetTest, ALostHubDoesNotUpsetShares)
{
    DemandFleet fleet(hotWorkspace(1.5));
    fleet.runFor(15s);
    fleet.resetCounts();
    fleet.kill(0, 1500ms);
    fleet.runFor(10s);
    EXPECT_GE(fleet.meanKeptPart(1), 0.97);
    EXPECT_GE(fleet.utilization(), 0.98);
}

// Guards against shares that need all routers: a third of them is cut off and limits by its own counts.
TEST(DemandFleetTest, AThirdOfTheRoutersUnheardKeepsShares)
{
    DemandFleet fleet(hotWorkspace(1.5));
    fleet.runFor(10s);
    std::set<size_t> unheard;
    for (size_t router = 20; unheard.size() < 28; router += 2)
        unheard.insert(router);
    fleet.cutOff(unheard);
    fleet.runFor(10s);
    fleet.resetCounts();
    fleet.runFor(60s);
    EXPECT_GE(fleet.meanKeptPart(1), 0.95);
    EXPECT_GE(fleet.utilization(), 0.97);
}

TEST(DemandFleetTest, WeightsScaleWhatIsAdmitted)
{
    auto options = hotWorkspace(3);
    options.workspaces.assign(24, 1);
    auto heavy = Routing::shortHash("w0");
    options.weightOf = [heavy](uint32_t workspace) { return workspace == heavy ? 2.0 : 1.0; };
    DemandFleet fleet(options);
    fleet.runFor(10s);
    fleet.resetCounts();
    fleet.runFor(60s);
    EXPECT_NEAR(fleet.counts()[0].admitted / fleet.exactShare(0), 1, 0.06);
    EXPECT_GE(fleet.meanKeptPart(1), 0.97);
}

// Guards against tables whose cost grows with the fleet or the workspaces. The budget is a part of the 7 KB per second
// that a router may use for control.
TEST(DemandFleetTest, BytesOfTablesAreBounded)
{
    for (size_t routers : { 30U, 300U, 1000U }) {
        for (size_t workspaces : { 24U, 4300U }) {
            DemandFleet::Options options;
            options.routers = routers;
            options.workspaces.assign(workspaces, 1);
            options.requestsPerSecond = 5.0 * static_cast<double>(routers);
            options.exchangeInterval = routers > 300 ? 400ms : 100ms;
            DemandFleet fleet(options);
            fleet.runFor(2500ms);
            fleet.resetCounts();
            fleet.runFor(2s);
            auto meanBytes = fleet.bytesSent() / fleet.seconds() / static_cast<double>(routers);
            auto busiest = fleet.bytesOfBusiestRouter() / fleet.seconds();
            std::cout << routers << " routers, " << workspaces << " workspaces: " << meanBytes
                      << " B/s sent by a router on average, " << busiest << " B/s by the busiest hub\n";
            EXPECT_LT(meanBytes, 7000);
        }
    }
}

// Guards against a peer's broken table that is read beyond its columns or taken as empty.
TEST(DemandExchangeTest, ATableOfUnequalColumnsIsIgnored)
{
    Routing::WorkspaceDemands demands;
    demands.rows[{ 9, 17, 2 }] = 1000;
    demands.rows[{ 9, 18, 2 }] = 1ULL << 40;
    Inner::Wire::DemandTable table;
    encodeDemands(demands, table);
    demands.rows[{ 9, 18, 2 }] = 0xffff'ffff;
    EXPECT_EQ(decodeDemands(table), demands) << "rates above the column's range are clamped";
    table.add_ranks(1);
    EXPECT_FALSE(decodeDemands(table));

    WorkspaceShares shares("hub");
    DemandExchange hub(shares);
    Inner::Wire::KnowledgeAsk request;
    *request.mutable_demands() = table;
    Inner::Wire::Knowledge response;
    hub.respond({ "a", 1 }, request, response, s_start);
    EXPECT_TRUE(response.has_demands());
    Inner::Wire::KnowledgeAsk other;
    other.mutable_demands();
    hub.respond({ "b", 1 }, other, response, s_start);
    EXPECT_EQ(response.demands().services_size(), 0);
}

// Guards against tables in each of ten messages a second, and against tables for routers of an earlier version.
TEST(DemandExchangeTest, TablesAreSentOnceASecondAndNotToEarlierVersions)
{
    WorkspaceShares shares("r1");
    DemandExchange exchange(shares);
    int requests = 0;
    int hubMessages = 0;
    for (auto now = s_start; now < s_start + 10s; now += 100ms) {
        Inner::Wire::KnowledgeAsk request;
        exchange.addTo(request, "hub", now);
        requests += request.has_demands();
        Inner::Wire::HubLoads message;
        exchange.addTo(message, now);
        hubMessages += message.has_demands();
    }
    EXPECT_EQ(requests, 10);
    EXPECT_EQ(hubMessages, 10);
    Inner::Wire::KnowledgeAsk toAnother;
    exchange.addTo(toAnother, "other", s_start + 9500ms);
    EXPECT_TRUE(toAnother.has_demands()) << "another hub does not have the table";
    Inner::Wire::Knowledge response;
    exchange.respond({ "old", 1 }, {}, response, s_start);
    EXPECT_FALSE(response.has_demands());
}

// Guards against reports that outlive their sender, and against counting the sums of two hubs.
TEST(DemandExchangeTest, ReportsExpireAndOnlyTheLastHubCounts)
{
    WorkspaceShares hubShares("hub");
    hubShares.recordDemand(work("a", 3000), s_start);
    DemandExchange hub(hubShares);
    WorkspaceShares shares("r1");
    DemandExchange router(shares);
    auto exchangeWith = [&](const std::string& id, Common::TimePoint now) {
        Inner::Wire::KnowledgeAsk request;
        router.addTo(request, id, now);
        Inner::Wire::Knowledge response;
        hub.respond({ "r1", 1 }, request, response, now);
        router.receive({ id, 1 }, response, now);
    };
    // What the router passes on as a hub shows what it has received from others.
    auto requestedByOthers = [&](Common::TimePoint now) {
        Inner::Wire::KnowledgeAsk request;
        request.mutable_demands();
        Inner::Wire::Knowledge response;
        router.respond({ "r2", 1 }, request, response, now);
        return response.demands().services_size() ? response.demands().tokens(0) : 0;
    };
    exchangeWith("hub1", s_start);
    EXPECT_EQ(requestedByOthers(s_start), 1000U);
    exchangeWith("hub2", s_start);
    EXPECT_EQ(requestedByOthers(s_start), 1000U) << "the report of the earlier hub is dropped";
    EXPECT_EQ(requestedByOthers(s_start + 2900ms), 1000U);
    EXPECT_EQ(requestedByOthers(s_start + 3s), 0U);
    exchangeWith("hub2", s_start + 4s);
    EXPECT_GT(requestedByOthers(s_start + 4s), 0U);
    router.forgetHub("hub2");
    EXPECT_EQ(requestedByOthers(s_start + 4s), 0U);
}

// Guards against requests that are counted once for each attempt, and refusals that say nothing about capacity.
TEST(DemandRecordTest, ARequestIsCountedOnceWithItsOutcome)
{
    WorkspaceShares shares("r1");
    Routing::Prompt prompt { 2700, 30, {}, 0 };
    auto rateOf = [&](Routing::RowKind kind) {
        return shares.ownDemands(s_start).rows[{ Routing::shortHash("records"), static_cast<uint32_t>(kind), 1 }];
    };
    DemandRecord unknown(&shares);
    unknown.recordAdmitted(s_start);
    unknown.recordRefused(Common::ErrorKind::QueueFull, s_start);
    EXPECT_TRUE(shares.ownDemands(s_start).rows.empty()) << "a request to a plain service does not count";
    DemandRecord record(&shares);
    record.recordArrival("records", "a", 1, prompt, s_start);
    record.recordAdmitted(s_start);
    record.recordAdmitted(s_start);
    EXPECT_EQ(rateOf(Routing::RowKind::Admitted), 1000U);
    record.recordRefused(Common::ErrorKind::CallerGone, s_start);
    EXPECT_EQ(rateOf(Routing::RowKind::Admitted), 1000U);
    record.recordRefused(Common::ErrorKind::UpstreamRefused, s_start);
    EXPECT_EQ(rateOf(Routing::RowKind::Admitted), 0U);
    EXPECT_EQ(rateOf(Routing::RowKind::Refused), 1000U);
    DemandRecord withoutShares(nullptr);
    withoutShares.recordArrival("records", "a", 1, prompt, s_start);
    withoutShares.recordAdmitted(s_start);
}

} // namespace Brassladder::RouteServing::Gateway
