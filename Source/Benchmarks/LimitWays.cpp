// SPDX-License-Identifier: Apache-2.0
// Compares strategies that keep the total rate of all routers within an upstream's limit, on virtual time.
// docs/design/upstream-limit.md lists the results.
#include "Common/Precompiled.h"

#include "Common/Digest.h"
#include "UnitTests/RouteServing/Gateway/QuotaFleet.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <numeric>

using namespace Brassladder;
using namespace std::chrono_literals;
using RouteServing::Gateway::QuotaFleet;

namespace {

enum class LimitStrategy { EqualShares, DemandShares, RankedRouters, Assigned };
constexpr const char* strategyNames[] { "equal shares", "shares by demand", "ranked routers", "assigned" };

// A token bucket with a capacity of one request.
struct Bucket {
    double rate { 0 };
    double saved { 1 };
    Common::TimePoint last {};

    bool take(Common::TimePoint now)
    {
        if (last != Common::TimePoint {})
            saved = std::min(1.0, saved + rate * Common::toSeconds(now - last));
        last = now;
        if (saved < 1)
            return false;
        saved -= 1;
        return true;
    }
};

std::vector<Bucket> bucketsOf(LimitStrategy strategy, const std::vector<double>& demands, double limit)
{
    auto routers = demands.size();
    std::vector<Bucket> buckets(routers);
    auto total = std::accumulate(demands.begin(), demands.end(), 0.0);
    std::vector<size_t> ranked(routers);
    std::iota(ranked.begin(), ranked.end(), 0);
    std::sort(ranked.begin(), ranked.end(), [](size_t a, size_t b) {
        return Common::stableHash("r" + std::to_string(a)) < Common::stableHash("r" + std::to_string(b));
    });
    auto chosen = std::clamp<size_t>(static_cast<size_t>(limit), 1, routers);
    for (size_t place = 0; place < routers; ++place) {
        auto router = ranked[place];
        auto& bucket = buckets[router];
        if (strategy == LimitStrategy::EqualShares)
            bucket.rate = limit / static_cast<double>(routers);
        else if (strategy == LimitStrategy::DemandShares)
            bucket.rate = limit * demands[router] / total;
        else if (place < chosen)
            bucket.rate = limit / static_cast<double>(chosen);
        else
            bucket.saved = 0;
    }
    return buckets;
}

void play(LimitStrategy strategy, size_t routers, double limit, bool freezes)
{
    constexpr auto length = 20s;
    QuotaFleet::Options options;
    options.routers = routers;
    // One router in ten receives four times the demand of the others.
    auto demand = routers < 60 ? 6.0 : 2.0;
    for (size_t router = 0; router < routers; ++router)
        options.demands.push_back(router % 10 == 3 ? 4 * demand : demand);
    auto buckets = bucketsOf(strategy, options.demands, limit);
    if (strategy != LimitStrategy::Assigned)
        options.admissionOverride = [&](size_t router, Common::TimePoint now) { return buckets[router].take(now); };
    QuotaFleet fleet(options);
    fleet.runFor(3s);
    fleet.setLimit(limit);
    auto named = fleet.now();
    fleet.runFor(3s);
    auto from = fleet.now();
    auto bytes = fleet.bytes();
    for (size_t router = 0; freezes && router < routers; router += 3)
        fleet.freeze(router, 5s);
    fleet.runFor(length);
    auto used = std::count_if(
        fleet.arrivals().begin(), fleet.arrivals().end(), [&](const auto& each) { return each.at >= from; });
    auto seconds = Common::toSeconds(Common::Duration(length));
    std::printf("%-17s %4zu %6.2f %-9s %6zu %6.0f %8.2f %9.0f\n", strategyNames[static_cast<size_t>(strategy)], routers,
        limit, freezes ? "a third" : "none", fleet.maxArrivalsInWindow(named), std::floor(6 * limit) + 5,
        static_cast<double>(used) / (limit * seconds),
        strategy == LimitStrategy::Assigned
            ? static_cast<double>(fleet.bytes() - bytes) / seconds / static_cast<double>(routers)
            : 0);
}

} // namespace

int main()
{
    std::printf("%-17s %4s %6s %-9s %6s %6s %8s %9s\n", "strategy", "n", "limit", "frozen 5s", "in 4 s", "bound",
        "used", "B/s each");
    for (size_t routers : { 7, 88, 300 })
        for (double limit : { 0.5, 1.0, 4.0, 30.0 })
            for (bool freezes : { false, true })
                for (auto strategy : { LimitStrategy::EqualShares, LimitStrategy::DemandShares,
                         LimitStrategy::RankedRouters, LimitStrategy::Assigned })
                    play(strategy, routers, limit, freezes);
    return 0;
}
