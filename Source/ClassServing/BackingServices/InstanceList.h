// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Endpoint.h"
#include "Common/Error.h"

#include <functional>
#include <string>
#include <vector>

namespace Brassladder::ClassServing::BackingServices {

// A live or leaving instance, as the platform lists it. The list lags.
struct Instance {
    std::string id;
    std::string role; // "router", or the name of the pool that the upstream serves.
    Common::Endpoint endpoint; // Of a router: where callers connect.
    Common::Endpoint inner; // Of a router: where its peers connect.
    std::string failureDomain;
    bool leaving { false };

    bool isRouter() const { return role == "router"; }
    bool operator==(const Instance&) const = default;
};

struct InstanceList {
    // PlatformUnavailable when the list cannot be had.
    std::function<Common::Result<std::vector<Instance>>()> read;
};

// The list over HTTP: GET /instances. Entries that are no instances are left out.
InstanceList httpInstanceList(const Common::Endpoint&);

} // namespace Brassladder::ClassServing::BackingServices
