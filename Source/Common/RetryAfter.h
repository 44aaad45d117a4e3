// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <optional>
#include <string_view>

// The HTTP header `Retry-After`.
namespace Brassladder::Common {

// Longer values are clamped to this limit.
inline constexpr Milliseconds maxRetryAfter { 3'600'000 };

// Parses a delay in seconds, which may have fractions, or an HTTP date (RFC 9110, 10.2.3). A date is relative to
// `date`, the value of the `Date` header of the response, or to `now` if that cannot be parsed. A date in the past
// results in zero. Returns nullopt if the value is neither.
std::optional<Milliseconds> parseRetryAfter(
    std::string_view value, std::string_view date, std::chrono::system_clock::time_point now);

} // namespace Brassladder::Common
