// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Inner.pb.h"
#include "RouteServing/Routing/PaceSums.h"

#include <cstddef>
#include <cstdint>

namespace Brassladder::RouteServing::Gateway {

// Rows of a table. A row takes about 13 bytes, so a table a second stays below 2 KB a second.
inline constexpr size_t maxPaceRows = 128;

// Encodes at most `maxPaceRows` engines, in the order of their short hashes, beginning with the first one that is at
// least `first` and wrapping around. Omits engines without fresh observations. Returns the hash to begin the next table
// with.
uint32_t encodePaces(const Routing::PacesByUpstream&, uint32_t first, Common::TimePoint now, Inner::Wire::PaceTable&);
// Clamps implausible values, and skips rows with work but no time or the reverse. Logs a warning and returns an empty
// result if the columns have different lengths.
Routing::PacesByUpstream decodePaces(const Inner::Wire::PaceTable&, Common::TimePoint now);

} // namespace Brassladder::RouteServing::Gateway
