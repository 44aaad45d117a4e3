// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <optional>
#include <string_view>

// The `Retry-After` header of HTTP.
namespace Brassladder::Common {

// The longest time that is read from a header; a longer one counts as this. It bounds what one unsound value can do: a
// sender that really wants more says so again, in answer to one request an hour. Chosen, not measured.
inline constexpr Milliseconds maxRetryAfter { 3'600'000 };

// For how long the sender wants nothing: seconds, fractions too, or an HTTP date (RFC 9110, 10.2.3), which counts from
// `date`, the value of the response's own `Date`, or from `now` when that can't be read. A time that is over counts as
// zero. None when the value is neither.
std::optional<Milliseconds> parseRetryAfter(
    std::string_view value, std::string_view date, std::chrono::system_clock::time_point now);

} // namespace Brassladder::Common
