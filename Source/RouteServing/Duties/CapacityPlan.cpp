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
// When 3,000 engines were replaced at once before 300 routers, hubs sent 15 MB per second and grew to 263 MB.
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

// Returns the number of spot engines per domain with which the other domains carry the load if one domain loses its
// spot engines. With a single domain, there is no such reserve.
unsigned CapacityPlan::spotTargetPerDomain(size_t domains, unsigned needed) const
{
    auto remainingDomains = static_cast<unsigned>(std::max<size_t>(1, domains - 1));
    return (needed + remainingDomains - 1) / remainingDomains;
}

// Raises the spot targets of the other domains by what domains that lack spot engines do not provide, evenly and within
// `most` per domain. If the shortfall is not divisible, the first domains of `order` get more.
static void shiftSpotShortfall(std::span<const DomainCapacity> domains, std::span<const size_t> order, unsigned most,
    std::vector<CapacityPlan::Target>& targets)
{
    unsigned shortfall = 0;
    for (size_t index = 0; index < domains.size(); ++index) {
        if (domains[index].lacksSpot)
            shortfall += targets[index].spot - std::min(targets[index].spot, domains[index].spot);
    }
    bool hasRoom = true;
    while (shortfall && hasRoom) {
        hasRoom = false;
        for (size_t index : order) {
            if (!shortfall || domains[index].lacksSpot || targets[index].spot >= most)
                continue;
            ++targets[index].spot;
            --shortfall;
            hasRoom = true;
        }
    }
}

std::vector<CapacityPlan::Target> CapacityPlan::targets(
    std::span<const DomainCapacity> domains, const CapacityNeed& need) const
{
    std::vector<Target> targets;
    auto floor = std::clamp(onDemandFloor, m_terms.min, std::max(m_terms.min, m_terms.max));
    bool spotIsCheaper = m_terms.spotPrice < 1;
    auto order = domainsByPrice(domains);
    auto mostSpot = spotIsCheaper ? m_terms.max - std::min(m_terms.max, floor) : 0;
    auto spot = std::min(spotTargetPerDomain(domains.size(), need.withHeadroom), mostSpot);
    targets.assign(domains.size(), { floor, spot });
    shiftSpotShortfall(domains, order, mostSpot, targets);
    unsigned carried = 0;
    for (size_t index = 0; index < domains.size(); ++index)
        carried += floor + std::min(domains[index].spot, targets[index].spot);
    // On-demand engines cover the part of the sustained need that the engines counted so far do not cover, in the
    // cheapest domains first. They never displace a serving spot engine. Serving on-demand engines are kept before new
    // ones are added.
    auto missing = need.sustained - std::min(need.sustained, carried);
    for (bool keepsServing : { true, false }) {
        for (size_t index : order) {
            auto& target = targets[index];
            auto room = m_terms.max - std::min(m_terms.max, domains[index].spot);
            auto ordered = std::max(domains[index].onDemand, domains[index].orderedOnDemand.value_or(0));
            auto available = domains[index].lacksOnDemand ? std::min(ordered, room) : room;
            auto most = keepsServing ? std::min(domains[index].onDemand, room) : available;
            auto more = std::min(missing, most - std::min(most, target.onDemand));
            target.onDemand += more;
            missing -= more;
        }
    }
    for (auto& target : targets)
        target.spot = std::min(target.spot, m_terms.max - std::min(m_terms.max, target.onDemand));
    return targets;
}

CapacityParts CapacityPlan::partsOf(
    std::span<const Target> targets, const CapacityNeed& need, const RequiredEngines& required)
{
    CapacityParts parts { required.prefill, required.decode, 0, 0, 0 };
    for (const auto& target : targets)
        parts.wanted += target.onDemand + target.spot;
    double wanted = parts.wanted;
    double needed = std::max(need.sustained, need.withHeadroom);
    parts.headroom = std::max(0.0, std::min(needed, wanted) - required.total());
    parts.reserve = std::max(0.0, wanted - std::max(needed, required.total()));
    return parts;
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
        auto missing = [&](unsigned other) { return m_terms.min - std::min(m_terms.min, other); };
        auto mostOnDemand = room(std::max(spot, domain.possibleSpot));
        auto mostSpot = room(std::max(onDemand, domain.possibleOnDemand));
        auto nextOnDemand = std::min(limitStep(domain.onDemand, targets[index].onDemand), mostOnDemand);
        auto nextSpot = std::min(limitStep(domain.spot, targets[index].spot), mostSpot);
        if (nextSpot < spot && spot <= room(std::max(onDemand, nextOnDemand)) && !isReleaseWorthwhile(spot, nextSpot))
            nextSpot = spot;
        // The bounds hold if both orders are accepted, and also if only one of them is.
        nextOnDemand = std::max(nextOnDemand, std::min(missing(std::min(spot, nextSpot)), mostOnDemand));
        if (nextSpot > spot)
            nextSpot = std::max(spot, std::min(nextSpot, room(nextOnDemand)));
        else
            nextSpot = std::max(nextSpot, std::min(missing(std::min(onDemand, nextOnDemand)), spot));
        if (nextOnDemand != onDemand || !domain.orderedOnDemand)
            orders.push_back({ service, domain.domain, EngineKind::OnDemand, nextOnDemand });
        if (nextSpot != spot || !domain.orderedSpot)
            orders.push_back({ service, domain.domain, EngineKind::Spot, nextSpot });
    }
    return orders;
}

} // namespace Brassladder::RouteServing::Duties
