// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/HomeRegions.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

static bool allows(const AllowedRegions& allowed, const std::string& region)
{
    return !allowed || std::find(allowed->begin(), allowed->end(), region) != allowed->end();
}

std::optional<DomainSet> allowedDomains(
    const RegionsByDomain& regions, const AllowedRegions& ofRoute, const AllowedRegions& ofWorkspace)
{
    if (!ofRoute && !ofWorkspace)
        return std::nullopt;
    DomainSet domains;
    for (const auto& [domain, region] : regions) {
        if (allows(ofRoute, region) && allows(ofWorkspace, region))
            domains.insert(domain);
    }
    return domains;
}

} // namespace Brassladder::RouteServing::Routing
