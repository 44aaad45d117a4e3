// SPDX-License-Identifier: Apache-2.0
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Which failure domains may serve a request whose route or workspace is restricted to regions. Pure.
namespace Brassladder::RouteServing::Routing {

using RegionsByDomain = std::map<std::string, std::string, std::less<>>;
using DomainSet = std::set<std::string, std::less<>>;
// nullopt: no restriction. An empty list allows no region.
using AllowedRegions = std::optional<std::vector<std::string>>;

// Returns the failure domains that both restrictions allow, or nullopt if there is no restriction. A failure domain
// whose region is unknown is not among them.
std::optional<DomainSet> allowedDomains(
    const RegionsByDomain&, const AllowedRegions& ofRoute, const AllowedRegions& ofWorkspace);

} // namespace Brassladder::RouteServing::Routing
