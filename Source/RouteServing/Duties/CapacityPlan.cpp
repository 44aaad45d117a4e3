// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Duties/CapacityPlan.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Brassladder::RouteServing::Duties {

// Minimum of on-demand engines per domain, independent of the need, in case the platform reclaims the spot engines of
// all domains.
static constexpr unsigned onDemandFloor = 1;

// Hysteresis for the release of spot engines: the surplus must exceed both a fraction of the ordered number and a
// minimum. An engine that is released and ordered again starts with an empty cache.
static constexpr unsigned spotSurplusDivisor = 8;
static constexpr unsigned minSpotSurplus = 2;

// Maximum number of engines of one kind that are added to or removed from a domain in one step. Hubs send each change
// of the upstream list to every router, so a larger step could overload them.
static constexpr unsigned maxEnginesPerStep = 60;

static unsigned limitStep(unsigned servingEngines, unsigned wanted)
{
    return std::clamp(
        wanted, servingEngines - std::min(servingEngines, maxEnginesPerStep), servingEngines + maxEnginesPerStep);
}

static bool isReleaseWorthwhile(unsigned ordered, unsigned wanted)
{
    return ordered - wanted > std::max(minSpotSurplus, ordered / spotSurplusDivisor);
}

std::vector<size_t> CapacityPlan::domainsByPrice(std::span<const DomainCapacity> domains) const
{
    auto price = [&](size_t index) {
        auto found = m_terms.domainPrices.find(domains[index].domain);
        return found == m_terms.domainPrices.end() ? 1.0 : found->second;
    };
    std::vector<size_t> order(domains.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) { return price(a) < price(b); });
    return order;
}

static unsigned divideRoundingUp(unsigned number, size_t parts)
{
    auto divisor = static_cast<unsigned>(std::max<size_t>(1, parts));
    return (number + divisor - 1) / divisor;
}

// Returns the number of spot engines per domain with which all domains together carry an unseen burst, and the other
// domains carry the peaks that were seen if one domain loses its spot engines. With a single domain, there is no such
// reserve. `floor`: on-demand engines per domain.
static unsigned spotTargetPerDomain(size_t domains, unsigned floor, const CapacityNeed& need)
{
    auto ofBothKinds = divideRoundingUp(std::max(need.unseenBurst, need.initial), domains);
    auto withReserve = divideRoundingUp(need.withHeadroom, domains - std::min<size_t>(1, domains));
    return std::max(withReserve, ofBothKinds - std::min(ofBothKinds, floor));
}

std::vector<CapacityPlan::Target> CapacityPlan::targets(
    std::span<const DomainCapacity> domains, const CapacityNeed& need) const
{
    std::vector<Target> targets;
    auto floor = std::clamp(onDemandFloor, m_terms.min, std::max(m_terms.min, m_terms.max));
    bool spotIsCheaper = m_terms.spotPrice < 1;
    unsigned carried = 0;
    for (const auto& domain : domains) {
        targets.push_back({ floor, 0 });
        if (spotIsCheaper)
            targets.back().spot = std::min(
                spotTargetPerDomain(domains.size(), floor, need), m_terms.max - std::min(m_terms.max, floor));
        carried += floor + std::min(domain.spot, targets.back().spot);
    }
    // On-demand engines cover the part of the sustained need that the engines counted so far do not cover, in the
    // cheapest domains first. They never displace a serving spot engine. Serving on-demand engines are kept before new
    // ones are added, and they are also kept for the initial minimum.
    auto covered = carried;
    for (bool keepsServing : { true, false }) {
        auto wanted = keepsServing ? std::max(need.sustained, need.initial) : need.sustained;
        auto missing = wanted - std::min(wanted, covered);
        for (size_t index : domainsByPrice(domains)) {
            auto& target = targets[index];
            auto room = m_terms.max - std::min(m_terms.max, domains[index].spot);
            auto most = keepsServing ? std::min(domains[index].onDemand, room) : room;
            auto more = std::min(missing, most - std::min(most, target.onDemand));
            target.onDemand += more;
            missing -= more;
            covered += more;
        }
    }
    for (auto& target : targets)
        target.spot = std::min(target.spot, m_terms.max - std::min(m_terms.max, target.onDemand));
    return targets;
}

std::vector<CapacityOrder> CapacityPlan::orders(
    const std::string& service, std::span<const DomainCapacity> domains, std::span<const Target> targets) const
{
    std::vector<CapacityOrder> orders;
    for (size_t index = 0; index < domains.size(); ++index) {
        const auto& domain = domains[index];
        // If the ordered number is unknown, the number of serving engines is the best estimate.
        auto onDemand = domain.orderedOnDemand.value_or(domain.onDemand);
        auto spot = domain.orderedSpot.value_or(domain.spot);
        auto room = [&](unsigned other) { return m_terms.max - std::min(m_terms.max, other); };
        auto nextOnDemand = std::min(limitStep(domain.onDemand, targets[index].onDemand), room(spot));
        auto nextSpot = std::min(limitStep(domain.spot, targets[index].spot), room(onDemand));
        if (nextSpot < spot && spot <= room(std::max(onDemand, nextOnDemand)) && !isReleaseWorthwhile(spot, nextSpot))
            nextSpot = spot;
        if (nextOnDemand + nextSpot < m_terms.min)
            nextOnDemand = m_terms.min - nextSpot;
        if (nextOnDemand != onDemand || !domain.orderedOnDemand)
            orders.push_back({ service, domain.domain, EngineKind::OnDemand, nextOnDemand });
        if (nextSpot != spot || !domain.orderedSpot)
            orders.push_back({ service, domain.domain, EngineKind::Spot, nextSpot });
    }
    return orders;
}

} // namespace Brassladder::RouteServing::Duties
