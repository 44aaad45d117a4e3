// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Inner.pb.h"
#include "RouteServing/Duties/UsageLedger.h"

#include <span>
#include <vector>

// Encodes and decodes usage counts between routers (Inner/Inner.proto).
namespace Brassladder::RouteServing::Gateway {

void encodeUsage(std::span<const Duties::RouterUsage>, Inner::Wire::UsageTable&);
// Skips a router, with a warning in the log, if its columns have different lengths, its id is empty, or a workspace
// index is out of range.
std::vector<Duties::RouterUsage> decodeUsage(const Inner::Wire::UsageTable&);

} // namespace Brassladder::RouteServing::Gateway
