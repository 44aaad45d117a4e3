// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Endpoint.h"
#include "Common/Error.h"
#include "Common/Json.h"

#include <string>

namespace Brassladder::Operator {

// Calls one router with the fleet key and returns the parsed body of its response. Returns PlatformUnavailable if the
// status is not 200.
Common::Result<Common::Json> callRouter(
    const Common::Endpoint&, const std::string& fleetKey, std::string method, std::string target);

} // namespace Brassladder::Operator
