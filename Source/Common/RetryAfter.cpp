// SPDX-License-Identifier: Apache-2.0
#include "Common/RetryAfter.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/time/time.h>

#include <algorithm>
#include <cmath>

namespace Brassladder::Common {

// Preferred format of an HTTP date (RFC 9110, 5.6.7): Sun, 06 Nov 1994 08:49:37 GMT.
static constexpr std::string_view httpDateFormat = "%a, %d %b %Y %H:%M:%S GMT";

static std::optional<absl::Time> parseHttpDate(std::string_view text)
{
    absl::Time time;
    std::string problem;
    if (!absl::ParseTime(
            { httpDateFormat.data(), httpDateFormat.size() }, { text.data(), text.size() }, &time, &problem))
        return std::nullopt;
    return time;
}

static Milliseconds bounded(double milliseconds)
{
    return Milliseconds(
        static_cast<int64_t>(std::clamp(std::ceil(milliseconds), 0.0, static_cast<double>(maxRetryAfter.count()))));
}

std::optional<Milliseconds> parseRetryAfter(
    std::string_view value, std::string_view date, std::chrono::system_clock::time_point now)
{
    static constexpr double millisecondsPerSecond = 1000;
    auto text = absl::StripAsciiWhitespace({ value.data(), value.size() });
    double seconds = 0;
    if (absl::SimpleAtod(text, &seconds) && !std::isnan(seconds))
        return bounded(seconds * millisecondsPerSecond);
    auto until = parseHttpDate({ text.data(), text.size() });
    if (!until)
        return std::nullopt;
    auto from = parseHttpDate(date).value_or(absl::FromChrono(now));
    return bounded(absl::ToDoubleMilliseconds(*until - from));
}

} // namespace Brassladder::Common
