// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/UpstreamSubset.h"

#include "Common/Digest.h"

#include <algorithm>
#include <limits>

namespace Brassladder::RouteServing::Routing {

// The subset grows when more than a quarter of its slots are taken, so that bursts find free upstreams.
static constexpr double slotsPerOutstandingRequest = 4;
// It shrinks when a quarter of it would do. The gap keeps a varying load from changing it repeatedly.
static constexpr size_t shrinkDivisor = 4;

size_t UpstreamSubset::nextSize(size_t current, const Demand& demand)
{
    auto forLoad = demand.outstanding * slotsPerOutstandingRequest / std::max(1.0, demand.slotsPerUpstream);
    auto needed = std::max(demand.routers, static_cast<size_t>(forLoad));
    auto size = std::max(current, minSize);
    while (size < needed)
        size *= 2;
    while (size > minSize && needed <= size / shrinkDivisor)
        size /= 2;
    return size;
}

static bool countsTowardsSize(const UpstreamRecord& record) { return !record.leaving && !record.evacuated; }

uint64_t UpstreamSubset::highestRank(std::span<const RankedUpstream> upstreams, size_t size)
{
    std::vector<uint64_t> ranks;
    for (const auto& upstream : upstreams) {
        if (countsTowardsSize(*upstream.record))
            ranks.push_back(upstream.rank);
    }
    if (ranks.size() <= size)
        return std::numeric_limits<uint64_t>::max();
    auto last = ranks.begin() + static_cast<ptrdiff_t>(size) - 1;
    std::nth_element(ranks.begin(), last, ranks.end());
    return *last;
}

static double meanSlots(double slots, size_t upstreams)
{
    return slots / static_cast<double>(std::max<size_t>(1, upstreams));
}

std::vector<UpstreamRecord> UpstreamSubset::select(
    std::span<const UpstreamRecord> upstreams, const DemandOfService& demandOf)
{
    std::map<std::string_view, std::vector<RankedUpstream>> services;
    std::map<std::string_view, double> slots;
    for (const auto& record : upstreams) {
        services[record.service].push_back({ Common::stableHash(record.id), &record });
        slots[record.service] += record.slots;
    }
    std::vector<UpstreamRecord> selected;
    for (const auto& [service, ranked] : services) {
        auto demand = demandOf(service);
        demand.slotsPerUpstream = meanSlots(slots[service], ranked.size());
        auto& size = m_sizes[std::string(service)];
        size = nextSize(size, demand);
        auto highest = demand.isScaled ? std::numeric_limits<uint64_t>::max() : highestRank(ranked, size);
        for (const auto& upstream : ranked) {
            if (upstream.rank <= highest)
                selected.push_back(*upstream.record);
        }
    }
    return selected;
}

} // namespace Brassladder::RouteServing::Routing
