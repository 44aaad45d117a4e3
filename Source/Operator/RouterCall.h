// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Endpoint.h"
#include "Common/Error.h"
#include "Common/Json.h"

#include <string>

namespace Brassladder::Operator {

// A call of the operator to one router, with the fleet's key; the body of its answer. PlatformUnavailable when it
// answered with anything but 200.
Common::Result<Common::Json> callRouter(
    const Common::Endpoint&, const std::string& fleetKey, std::string method, std::string target);

} // namespace Brassladder::Operator
