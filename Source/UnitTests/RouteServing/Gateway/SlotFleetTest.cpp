// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "UnitTests/RouteServing/Gateway/SlotFleet.h"

#include <gtest/gtest.h>

// Tests that a fleet of any size keeps fragile upstreams from failing, including during faults of routers.
namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;
using Strategy = SlotFleet::Strategy;

namespace {

constexpr size_t fleetSizes[] { 1, 2, 7, 88, 300 };

SlotFleet::Options optionsFor(size_t routers, double load, Strategy strategy = Strategy::Reservations)
{
    SlotFleet::Options options;
    options.routers = routers;
    options.load = load;
    options.strategy = strategy;
    return options;
}

// The operators' rule: in one fragile time, two and a tenth of the upstreams may fail.
size_t allowedFailures(size_t upstreams) { return 2 + upstreams / 10; }

std::vector<size_t> everyThird(size_t routers)
{
    std::vector<size_t> chosen;
    for (size_t router = 0; router < routers; router += 3)
        chosen.push_back(router);
    return chosen;
}

} // namespace

TEST(SlotFleetTest, WithoutFaultsNoUpstreamRejectsARequest)
{
    for (auto routers : fleetSizes) {
        for (double load : { 0.3, 1.5, 4.0 }) {
            SlotFleet fleet(optionsFor(routers, load));
            fleet.runFor(5s);
            EXPECT_EQ(fleet.result().rejected, 0U) << routers << " routers, load " << load;
            EXPECT_LE(fleet.result().mostUnderWay, 6U);
        }
    }
}

// Guards against a fleet that refuses more than the room that is lost.
TEST(SlotFleetTest, AnUnloadedFleetServesNearlyAllRequestsInTime)
{
    for (auto routers : fleetSizes) {
        SlotFleet fleet(optionsFor(routers, 0.3));
        fleet.runFor(10s);
        EXPECT_GE(static_cast<double>(fleet.result().inTime), 0.98 * static_cast<double>(fleet.result().requests))
            << routers;
    }
}

// A slot is idle for up to four messages between two requests, a fifth of the time of these requests.
TEST(SlotFleetTest, AnOverloadedFleetUsesMostOfTheSlots)
{
    for (auto routers : fleetSizes) {
        SlotFleet fleet(optionsFor(routers, 2));
        fleet.runFor(10s);
        EXPECT_GE(static_cast<double>(fleet.result().served), 0.6 * static_cast<double>(fleet.result().requests) / 2)
            << routers;
    }
}

TEST(SlotFleetTest, FewUpstreamsFailWhileRoutersAreKilledFrozenOrCutOff)
{
    for (size_t routers : { 7, 88, 300 }) {
        for (double load : { 0.3, 0.8 }) {
            for (auto fault : { 'k', 'f', 'c' }) {
                SlotFleet fleet(optionsFor(routers, load));
                fleet.runFor(2s);
                auto chosen = everyThird(routers);
                if (fault == 'c')
                    fleet.cut(chosen, 3s);
                chosen.push_back(fleet.coordinatorOf(0));
                for (auto router : chosen) {
                    if (fault == 'k')
                        fleet.kill(router, 2s);
                    if (fault == 'f')
                        fleet.freeze(router, 3s);
                }
                fleet.runFor(8s);
                EXPECT_LE(fleet.result().failures, allowedFailures(3)) << routers << ", " << load << ", " << fault;
            }
        }
    }
}

// What the strategy is for: without it, the same upstreams fail again and again.
TEST(SlotFleetTest, RoutersThatPlaceIndependentlyMakeUpstreamsFail)
{
    for (size_t routers : { 7, 88, 300 }) {
        SlotFleet independent(optionsFor(routers, 0.8, Strategy::Independent));
        independent.runFor(10s);
        EXPECT_GT(independent.result().failures, allowedFailures(3)) << routers;
        SlotFleet reserving(optionsFor(routers, 0.8));
        reserving.runFor(10s);
        EXPECT_GT(reserving.result().served, 5 * independent.result().served) << routers;
    }
}

} // namespace Brassladder::RouteServing::Gateway
