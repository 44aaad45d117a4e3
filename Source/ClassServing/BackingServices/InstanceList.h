// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Endpoint.h"
#include "Common/Error.h"

#include <functional>
#include <string>
#include <vector>

namespace Brassladder::ClassServing::BackingServices {

// A live or leaving instance, as the platform lists it. The list may be out of date.
struct Instance {
    std::string id;
    std::string role; // "router", or the name of the pool that the upstream serves in.
    Common::Endpoint endpoint; // Address for callers if the instance is a router, else the upstream's address.
    Common::Endpoint inner; // Address for peers. Only routers have one.
    std::string failureDomain;
    bool leaving { false };

    bool isRouter() const { return role == "router"; }
    bool operator==(const Instance&) const = default;
};

struct InstanceList {
    // Returns PlatformUnavailable if the list cannot be fetched or parsed.
    std::function<Common::Result<std::vector<Instance>>()> read;
};

// Fetches the list with GET /instances. Skips entries without an id, a role or a valid endpoint.
InstanceList httpInstanceList(const Common::Endpoint&);

} // namespace Brassladder::ClassServing::BackingServices
