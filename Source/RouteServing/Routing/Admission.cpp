// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Routing/Admission.h"

#include <algorithm>

namespace Brassladder::RouteServing::Routing {

using Common::ErrorKind;

static std::string_view withoutPort(std::string_view host) { return host.substr(0, host.find(':')); }

static Refusal staleKeysRefusal()
{
    return { ErrorKind::PlatformUnavailable, "key cannot be verified: the configuration was not confirmed recently" };
}

Admission admit(const RouterState& state, const RequestTarget& target)
{
    Admission admission;
    if (state.refusesNewRequests) {
        admission.refusal = Refusal { ErrorKind::Draining, "this instance is stopping" };
        return admission;
    }
    if (!state.table || !state.hasUpstreamList) {
        admission.refusal = Refusal { ErrorKind::NotReady, "no configuration or list of upstreams yet" };
        return admission;
    }
    admission.route = state.table->find(withoutPort(target.host), target.path);
    if (!admission.route) {
        admission.refusal = Refusal { ErrorKind::UnknownRoute, "no route for this host and path" };
        return admission;
    }
    if (admission.route->isAnonymous || !state.table->requiresKeys())
        return admission;
    if (!state.isKeyLeaseValid) {
        admission.refusal = staleKeysRefusal();
        return admission;
    }
    admission.workspace = state.table->workspaceOfKey(target.key);
    if (!admission.workspace)
        admission.refusal = Refusal { ErrorKind::Unauthenticated, "unknown key" };
    return admission;
}

std::optional<Refusal> revalidateKey(
    const RouteTable& inForce, const Workspace* admittedWorkspace, std::string_view key, bool isKeyLeaseValid)
{
    if (!admittedWorkspace)
        return std::nullopt;
    if (!isKeyLeaseValid)
        return staleKeysRefusal();
    const auto* holder = inForce.workspaceOfKey(key);
    if (holder && holder->name == admittedWorkspace->name)
        return std::nullopt;
    // The current configuration would admit the request, so the caller may retry.
    if (holder || !inForce.requiresKeys())
        return Refusal { ErrorKind::PlatformUnavailable,
            "the key no longer belongs to the workspace that the request was admitted for" };
    return Refusal { ErrorKind::Unauthenticated, "the key was revoked" };
}

Common::Milliseconds requestTimeout(const Route& route, std::optional<Common::Milliseconds> callerTimeout)
{
    return callerTimeout ? std::min(route.timeout, *callerTimeout) : route.timeout;
}

std::string_view pickService(const Route& route, uint64_t random)
{
    const auto& shares = route.shares;
    if (shares.empty())
        return {};
    uint64_t total = 0;
    for (const auto& share : shares)
        total += share.weight;
    if (!total)
        return shares.front().service;
    auto drawn = random % total;
    for (const auto& share : shares) {
        if (drawn < share.weight)
            return share.service;
        drawn -= share.weight;
    }
    return shares.back().service;
}

} // namespace Brassladder::RouteServing::Routing
