// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Json.h"
#include "Operator/FleetView.h"

#include <string>

// Output of `brassladder-ctl fleet` for one router. `behind` is the reason why its state is stale, or empty.
namespace Brassladder::Operator {

Common::Json toJson(const RouterView&, const std::string& behind);
std::string toLine(const RouterView&, const std::string& behind);

} // namespace Brassladder::Operator
