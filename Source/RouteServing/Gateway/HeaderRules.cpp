// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/HeaderRules.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <charconv>

namespace Brassladder::RouteServing::Gateway {

static bool isWithheld(const std::string& name, std::span<const std::string> withheld)
{
    return std::find(withheld.begin(), withheld.end(), absl::AsciiStrToLower(name)) != withheld.end();
}

std::vector<Common::HttpHeader> headersForUpstream(
    const Common::HttpRequest& request, std::span<const std::string> withheld)
{
    auto hopByHop = Common::hopByHopFieldsOf(request);
    std::vector<Common::HttpHeader> headers;
    for (const auto& field : request) {
        std::string name(field.name_string().data(), field.name_string().size());
        if (!hopByHop.contains(name) && !isWithheld(name, withheld))
            headers.push_back({ std::move(name), std::string(field.value().data(), field.value().size()) });
    }
    return headers;
}

std::optional<Common::Milliseconds> parseMilliseconds(std::string_view text)
{
    int64_t milliseconds = 0;
    auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (problem != std::errc() || milliseconds <= 0)
        return std::nullopt;
    return Common::Milliseconds(milliseconds);
}

std::vector<Common::HttpHeader> headersForCaller(const Common::HttpClientResponse& response)
{
    auto hopByHop = Common::hopByHopFieldsOf(response);
    std::vector<Common::HttpHeader> headers;
    for (const auto& header : response.headers) {
        if (!hopByHop.contains(header.name))
            headers.push_back(header);
    }
    return headers;
}

} // namespace Brassladder::RouteServing::Gateway
