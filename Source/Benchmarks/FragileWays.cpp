// SPDX-License-Identifier: Apache-2.0
// Compares strategies that keep fragile upstreams within the rejections that they tolerate, on virtual time.
// docs/design/fragile-upstreams.md lists the results.
#include "Common/Precompiled.h"

#include "UnitTests/RouteServing/Gateway/SlotFleet.h"

#include <cstdio>
#include <numeric>

using namespace Brassladder;
using namespace std::chrono_literals;
using RouteServing::Gateway::SlotFleet;
using Strategy = SlotFleet::Strategy;

namespace {

constexpr const char* strategyNames[] { "independent", "shared backoff", "rates", "reservations" };

// What happens to routers while the upstreams are fragile.
enum class Faults : uint8_t { None, Killed, Frozen, Cut };
constexpr const char* faultNames[] { "none", "killed", "frozen", "cut" };

struct Service {
    const char* name;
    SlotFleet::Options options;
};

std::vector<size_t> everyThird(size_t routers)
{
    std::vector<size_t> chosen;
    for (size_t router = 0; router < routers; router += 3)
        chosen.push_back(router);
    return chosen;
}

void apply(SlotFleet& fleet, size_t routers, Faults faults)
{
    if (faults == Faults::Killed) {
        for (auto router : everyThird(routers))
            fleet.kill(router, 2s);
        fleet.kill(fleet.coordinatorOf(0), 2s);
    }
    if (faults == Faults::Frozen) {
        for (auto router : everyThird(routers))
            fleet.freeze(router, 3s);
        fleet.freeze(fleet.coordinatorOf(0), 3s);
    }
    if (faults == Faults::Cut)
        fleet.cut(everyThird(routers), 3s);
}

void play(Strategy strategy, const Service& service, size_t routers, double load, Faults faults)
{
    auto options = service.options;
    options.strategy = strategy;
    options.routers = routers;
    options.load = load;
    SlotFleet fleet(options);
    fleet.runFor(2s);
    fleet.resetResult();
    fleet.runFor(2s);
    apply(fleet, routers, faults);
    fleet.runFor(8s);
    const auto& result = fleet.result();
    auto requests = static_cast<double>(result.requests);
    std::printf("%-8s %4zu %5.2f %-7s %-15s %6zu %8zu %7zu %8.3f %8.3f %9.1f\n", service.name, routers, load,
        faultNames[static_cast<size_t>(faults)], strategyNames[static_cast<size_t>(strategy)], result.failures,
        result.rejected, result.mostUnderWay, static_cast<double>(result.inTime) / requests,
        static_cast<double>(result.served) / requests, static_cast<double>(result.messages) / 10);
}

} // namespace

int main()
{
    Service calls { "calls", {} };
    Service streams { "streams", {} };
    streams.options.upstreams = 24;
    streams.options.slots = 12;
    streams.options.serviceMs = 1500;
    streams.options.objective = 1000ms;
    streams.options.deadline = 10'000ms;
    std::printf("%-8s %4s %5s %-7s %-15s %6s %8s %7s %8s %8s %9s\n", "service", "n", "load", "routers", "strategy",
        "fails", "rejected", "most", "in time", "served", "msg/s");
    for (const auto& service : { calls, streams })
        for (size_t routers : { 7, 88, 300 })
            for (double load : { 0.3, 0.8, 1.5 })
                for (auto faults : { Faults::None, Faults::Killed, Faults::Frozen, Faults::Cut })
                    for (auto strategy :
                        { Strategy::Independent, Strategy::SharedBackoff, Strategy::Rates, Strategy::Reservations })
                        play(strategy, service, routers, load, faults);
    return 0;
}
