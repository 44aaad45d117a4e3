// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/HeaderRules.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace Brassladder::RouteServing::Gateway {

static bool concernsOneConnection(std::string_view lower)
{
    static constexpr std::array s_names { "connection", "keep-alive", "proxy-connection", "te", "trailer",
        "transfer-encoding", "upgrade", "content-length", "expect", "proxy-authenticate", "proxy-authorization" };
    return std::find(s_names.begin(), s_names.end(), lower) != s_names.end();
}

static std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
    return lower;
}

std::vector<Common::HttpHeader> headersForUpstream(
    const Common::HttpRequest& request, std::span<const std::string> withheld)
{
    std::vector<Common::HttpHeader> headers;
    for (const auto& field : request) {
        std::string name(field.name_string().data(), field.name_string().size());
        auto lower = lowerCase(name);
        bool isWithheld = std::find(withheld.begin(), withheld.end(), lower) != withheld.end();
        if (isWithheld || concernsOneConnection(lower))
            continue;
        headers.push_back({ std::move(name), std::string(field.value().data(), field.value().size()) });
    }
    return headers;
}

std::vector<Common::HttpHeader> headersForCaller(const Common::HttpClientResponse& answer)
{
    std::vector<Common::HttpHeader> headers;
    for (const auto& header : answer.headers) {
        if (!concernsOneConnection(lowerCase(header.name)))
            headers.push_back(header);
    }
    return headers;
}

} // namespace Brassladder::RouteServing::Gateway
