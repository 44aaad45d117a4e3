// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/CapacityView.h"

#include <algorithm>
#include <map>

namespace Brassladder::RouteServing::Gateway {

// Counts the engines of the service in each failure domain, without leaving engines. The result covers every failure
// domain that has a price or such engines.
static std::vector<Duties::DomainCapacity> domainCapacities(
    const Routing::Service& service, std::span<const Routing::UpstreamRecord> upstreams)
{
    std::map<std::string, Duties::DomainCapacity> domains;
    for (const auto& [domain, price] : service.scaling->domainPrices)
        domains[domain];
    for (const auto& upstream : upstreams) {
        if (upstream.service != service.name || upstream.leaving)
            continue;
        auto& domain = domains[upstream.failureDomain];
        ++(upstream.spot ? domain.spot : domain.onDemand);
    }
    std::vector<Duties::DomainCapacity> result;
    for (auto& [name, domain] : domains) {
        domain.domain = name;
        result.push_back(std::move(domain));
    }
    return result;
}

// Returns the shortest objective of the routes that lead to the service, or the maximum if none has an objective.
static Common::Milliseconds shortestObjective(const Routing::RouteTable& table, const std::string& service)
{
    auto shortest = Common::Milliseconds::max();
    table.forEachRoute([&](const Routing::Route& route) {
        bool leadsToService = std::any_of(
            route.shares.begin(), route.shares.end(), [&](const auto& share) { return share.service == service; });
        if (leadsToService && route.objective.count() > 0)
            shortest = std::min(shortest, route.objective);
    });
    return shortest;
}

// Returns the tokens per second of objective. Tokens in reports of earlier routers, which state no rate, are measured
// against the shortest objective.
static double prefillRate(const Routing::UpstreamLoad& outstanding, Common::Milliseconds shortestObjective)
{
    auto seconds = Common::toSeconds(std::max(shortestObjective, Common::Milliseconds(1)));
    return static_cast<double>(outstanding.prefillRate)
        + static_cast<double>(outstanding.unratedPrefillTokens) / seconds;
}

static Duties::EngineLoad engineLoad(const Routing::Service& service, const Routing::RouteTable& table,
    const Routing::UpstreamRegistry& registry, double loadFactor, Common::TimePoint now)
{
    auto outstanding = registry.outstandingOf(service.name);
    Duties::EngineLoad load;
    load.requests = loadFactor * outstanding.requests;
    load.decodeHeavy = loadFactor * outstanding.decodeHeavy;
    load.prefillRate = loadFactor * prefillRate(outstanding, shortestObjective(table, service.name));
    load.millisecondsPerToken = registry.firstEventEstimate(service.name, now).millisecondsPerToken;
    load.batch = service.engine ? service.engine->batch : 1;
    return load;
}

std::vector<ServiceCapacity> collectServiceCapacities(
    const PlatformWatcher& watcher, const Routing::UpstreamRegistry& registry, double loadFactor, Common::TimePoint now)
{
    std::vector<ServiceCapacity> services;
    auto configuration = watcher.configuration();
    if (!configuration || !watcher.hasUpstreamList())
        return services;
    const auto& table = configuration->table;
    auto upstreams = registry.upstreams();
    for (const auto& [name, service] : table.services()) {
        if (service.scaling)
            services.push_back({ name, *service.scaling, domainCapacities(service, upstreams),
                engineLoad(service, table, registry, loadFactor, now) });
    }
    return services;
}

} // namespace Brassladder::RouteServing::Gateway
