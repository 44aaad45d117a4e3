// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/ResponseStatement.h"

#include "Common/HttpStatus.h"
#include "Common/Log.h"
#include "Common/RetryAfter.h"
#include "RouteServing/Gateway/GatewayMetrics.h"

namespace Brassladder::RouteServing::Gateway {

using Common::LogLevel;

static std::optional<Common::Milliseconds> restOf(const Common::HttpClientResponse& response)
{
    auto value = response.header("Retry-After");
    bool mayAskForRest = response.status == Common::serviceUnavailable || response.status == Common::tooManyRequests;
    if (value.empty() || !mayAskForRest)
        return std::nullopt;
    auto rest = Common::parseRetryAfter(value, response.header("Date"), std::chrono::system_clock::now());
    if (!rest)
        Common::log(LogLevel::Warning, "gateway", "upstream.bad_retry_after", { { "value", std::string(value) } });
    // No time at all, or one that is over, asks for nothing.
    return rest && rest->count() > 0 ? rest : std::nullopt;
}

Routing::UpstreamStatement statementOf(const UpstreamHeaders& headers, const Common::HttpClientResponse& response)
{
    // The response is to a request for the upstream that had the address before.
    if (headers.isFromAnother(response))
        return {};
    return { headers.isLeaving(response), restOf(response) };
}

void reportStatement(
    const Routing::UpstreamRecord& upstream, const Routing::UpstreamStatement& statement, std::string_view requestId)
{
    Common::Json fields { { "upstream", upstream.id }, { "born", upstream.born }, { "service", upstream.service },
        { "request", std::string(requestId) } };
    if (statement.isLeaving) {
        GatewayMetrics::upstreamStated(GatewayMetrics::Stated::Leaving);
        Common::log(LogLevel::Info, "gateway", "upstream.says_leaving", fields);
    }
    if (statement.rest) {
        GatewayMetrics::upstreamStated(GatewayMetrics::Stated::Rest);
        fields["seconds"] = Common::toSeconds(*statement.rest);
        Common::log(LogLevel::Info, "gateway", "upstream.asked_rest", std::move(fields));
    }
}

} // namespace Brassladder::RouteServing::Gateway
