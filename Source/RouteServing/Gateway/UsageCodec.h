// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Inner.pb.h"
#include "RouteServing/Duties/UsageLedger.h"

#include <span>
#include <vector>

// Encodes and decodes usage counts between routers (Inner/Inner.proto).
namespace Brassladder::RouteServing::Gateway {

void encodeUsage(std::span<const Duties::RouterUsage>, Inner::Wire::UsageTable&);
// A router whose columns have different lengths or that names an unknown workspace is left out, with a log line.
std::vector<Duties::RouterUsage> decodeUsage(const Inner::Wire::UsageTable&);

} // namespace Brassladder::RouteServing::Gateway
