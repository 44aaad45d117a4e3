// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Json.h"
#include "Operator/FleetView.h"

#include <string>

// What `brassladder-ctl fleet` shows of a router. `behind`: why its state is too old; empty when it is not.
namespace Brassladder::Operator {

Common::Json toJson(const RouterView&, const std::string& behind);
std::string toLine(const RouterView&, const std::string& behind);

} // namespace Brassladder::Operator
