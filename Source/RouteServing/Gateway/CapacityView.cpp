// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/CapacityView.h"

#include <map>

namespace Brassladder::RouteServing::Gateway {

// The failure domains that have a price, and those where engines stand.
static std::vector<Duties::DomainCapacity> domainsOf(
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

std::vector<ServiceCapacity> capacityOfServices(
    const PlatformWatcher& watcher, const Routing::UpstreamRegistry& registry)
{
    std::vector<ServiceCapacity> services;
    auto configuration = watcher.configuration();
    if (!configuration || !watcher.knowsUpstreams())
        return services;
    auto upstreams = registry.upstreams();
    for (const auto& [name, service] : configuration->table.services()) {
        if (service.scaling)
            services.push_back({ name, *service.scaling, domainsOf(service, upstreams), std::nullopt });
    }
    return services;
}

} // namespace Brassladder::RouteServing::Gateway
