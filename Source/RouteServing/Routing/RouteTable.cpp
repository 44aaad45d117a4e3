// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/RouteTable.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    auto routes = m_hosts.find(host);
    if (routes == m_hosts.end())
        return nullptr;
    for (const auto& route : routes->second) {
        if (path.starts_with(route.pathPrefix))
            return &route;
    }
    return nullptr;
}

void RouteTable::forEachRoute(const std::function<void(const Route&)>& visit) const
{
    for (const auto& [host, routes] : m_hosts) {
        for (const auto& route : routes)
            visit(route);
    }
}

const Service* RouteTable::service(std::string_view name) const
{
    auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

Common::Milliseconds RouteTable::shortestMaxPause(std::string_view service) const
{
    auto found = m_shortestMaxPauses.find(service);
    return found == m_shortestMaxPauses.end() ? Common::Milliseconds { 0 } : found->second;
}

const Workspace* RouteTable::workspaceOfKey(std::string_view key) const
{
    auto found = m_keys.find(std::string(key));
    return found == m_keys.end() ? nullptr : &m_workspaces[found->second];
}

RouteTable::Builder& RouteTable::Builder::version(uint64_t version)
{
    m_table.m_version = version;
    return *this;
}

RouteTable::Builder& RouteTable::Builder::limits(const CallerLimits& limits)
{
    m_table.m_limits = limits;
    return *this;
}

RouteTable::Builder& RouteTable::Builder::route(Route route)
{
    auto& routes = m_table.m_hosts[route.host];
    routes.push_back(std::move(route));
    ++m_table.m_routeCount;
    return *this;
}

RouteTable::Builder& RouteTable::Builder::service(Service service)
{
    auto name = service.name;
    m_table.m_services.insert_or_assign(std::move(name), std::move(service));
    return *this;
}

RouteTable::Builder& RouteTable::Builder::workspace(Workspace workspace, std::vector<std::string> keys)
{
    for (auto& key : keys)
        m_table.m_keys.insert_or_assign(std::move(key), m_table.m_workspaces.size());
    m_table.m_workspaces.push_back(std::move(workspace));
    return *this;
}

void RouteTable::Builder::buildUrgency()
{
    auto isServedByEngines = [this](const Route& route) {
        return std::any_of(route.shares.begin(), route.shares.end(), [this](const auto& share) {
            const auto* service = m_table.service(share.service);
            return service && service->engine;
        });
    };
    for (const auto& [host, routes] : m_table.m_hosts) {
        for (const auto& route : routes) {
            if (isServedByEngines(route))
                m_table.m_urgency.addRoute(route.priority);
        }
    }
    for (const auto& workspace : m_table.m_workspaces)
        m_table.m_urgency.addWorkspace(workspace.priority);
}

void RouteTable::Builder::buildPauseBounds()
{
    m_table.forEachRoute([this](const Route& route) {
        if (route.kind != RouteKind::Stream || route.maxPause.count() <= 0)
            return;
        for (const auto& share : route.shares) {
            auto& shortest = m_table.m_shortestMaxPauses.try_emplace(share.service, route.maxPause).first->second;
            shortest = std::min(shortest, route.maxPause);
        }
    });
}

RouteTable RouteTable::Builder::build()
{
    auto longerPrefix = [](const Route& a, const Route& b) { return a.pathPrefix.size() > b.pathPrefix.size(); };
    for (auto& [host, routes] : m_table.m_hosts)
        std::stable_sort(routes.begin(), routes.end(), longerPrefix);
    buildUrgency();
    buildPauseBounds();
    return std::move(m_table);
}

} // namespace Brassladder::RouteServing::Routing
