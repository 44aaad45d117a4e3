// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/ResponseStatement.h"

#include "Common/HttpStatus.h"
#include "Common/Log.h"
#include "Common/LogRateLimiter.h"
#include "Common/RetryAfter.h"
#include "RouteServing/Gateway/GatewayMetrics.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <cmath>

namespace Brassladder::RouteServing::Gateway {

using Common::LogLevel;

static std::optional<Common::Milliseconds> retryAfterOf(const Common::HttpClientResponse& response)
{
    auto value = response.header("Retry-After");
    bool mayRequestCooldown
        = response.status == Common::serviceUnavailable || response.status == Common::tooManyRequests;
    if (value.empty() || !mayRequestCooldown)
        return std::nullopt;
    auto cooldown = Common::parseRetryAfter(value, response.header("Date"), std::chrono::system_clock::now());
    if (!cooldown)
        Common::log(LogLevel::Warning, "gateway", "upstream.bad_retry_after", { { "value", std::string(value) } });
    // A delay of zero, or a date in the past, requests no cooldown.
    return cooldown && cooldown->count() > 0 ? cooldown : std::nullopt;
}

Routing::UpstreamStatement statementOf(const UpstreamHeaders& headers, const Common::HttpClientResponse& response)
{
    // Another upstream now has the address. Its statement must not be attributed to the expected upstream.
    if (headers.isFromOtherUpstream(response))
        return {};
    return { headers.isLeaving(response), retryAfterOf(response) };
}

// Returns the rate per second, or nullopt if the value is negative or not a number.
static std::optional<double> parseRate(std::string_view value)
{
    auto text = absl::StripAsciiWhitespace({ value.data(), value.size() });
    double rate = 0;
    if (!absl::SimpleAtod(text, &rate) || std::isnan(rate) || rate < 0)
        return std::nullopt;
    return std::min(rate, Routing::maxStatedRate);
}

static std::optional<Routing::RateStatement> rateStatementOf(const UpstreamHeaders& headers,
    const std::string& headerName, const char* badValueEvent, const Common::HttpClientResponse& response)
{
    if (headers.isFromOtherUpstream(response))
        return std::nullopt;
    Routing::RateStatement statement;
    bool isUnreadable = false;
    for (const auto& header : response.headers) {
        if (!absl::EqualsIgnoreCase(header.name, headerName))
            continue;
        auto rate = parseRate(header.value);
        if (!rate) {
            isUnreadable = true;
            Common::log(LogLevel::Warning, "gateway", badValueEvent, { { "value", header.value } });
            continue;
        }
        statement.perSecond = std::min(*rate, statement.perSecond.value_or(*rate));
    }
    if (isUnreadable && !statement.perSecond)
        return std::nullopt;
    return statement;
}

std::optional<Routing::RateStatement> limitStatementOf(
    const UpstreamHeaders& headers, const Common::HttpClientResponse& response)
{
    return rateStatementOf(headers, headers.limitHeader, "upstream.bad_limit", response);
}

std::optional<Routing::RateStatement> toleranceStatementOf(
    const UpstreamHeaders& headers, const Common::HttpClientResponse& response)
{
    return rateStatementOf(headers, headers.toleranceHeader, "upstream.bad_tolerance", response);
}

struct StatementEvents {
    GatewayMetrics::StatementKind kind;
    const char* stated;
    const char* ended;
};

static void reportRate(const Routing::UpstreamRecord& upstream, const Routing::RateStatement& statement,
    Routing::StatementChange change, std::string_view requestId, const StatementEvents& events)
{
    if (change == Routing::StatementChange::None)
        return;
    Common::Json fields { { "upstream", upstream.id }, { "born", upstream.born }, { "service", upstream.service },
        { "request", std::string(requestId) } };
    if (change == Routing::StatementChange::Ended)
        return Common::log(LogLevel::Info, "gateway", events.ended, std::move(fields));
    GatewayMetrics::statementReceived(events.kind);
    fields["per_second"] = statement.perSecond.value_or(0);
    Common::log(LogLevel::Info, "gateway", events.stated, std::move(fields));
}

void reportLimit(const Routing::UpstreamRecord& upstream, const Routing::RateStatement& statement,
    Routing::StatementChange change, std::string_view requestId)
{
    reportRate(upstream, statement, change, requestId,
        { GatewayMetrics::StatementKind::Limit, "upstream.names_limit", "upstream.limit_ended" });
}

void reportTolerance(const Routing::UpstreamRecord& upstream, const Routing::RateStatement& statement,
    Routing::StatementChange change, std::string_view requestId)
{
    reportRate(upstream, statement, change, requestId,
        { GatewayMetrics::StatementKind::Fragile, "upstream.states_fragility", "upstream.fragility_ended" });
}

static bool isUnreadStatement(const UpstreamHeaders& headers, const std::string& name)
{
    if (headers.statementPrefix.empty() || !absl::StartsWithIgnoreCase(name, headers.statementPrefix))
        return false;
    return std::none_of(headers.readStatements.begin(), headers.readStatements.end(),
        [&](const auto& read) { return absl::EqualsIgnoreCase(name, read); });
}

void reportUnreadStatements(
    const UpstreamHeaders& headers, const Common::HttpClientResponse& response, const Routing::UpstreamRecord& upstream)
{
    static Common::LogRateLimiter s_limiter(1);
    for (const auto& header : response.headers) {
        if (!isUnreadStatement(headers, header.name))
            continue;
        GatewayMetrics::unreadStatement();
        if (s_limiter.tryAcquire(Common::now()))
            Common::log(LogLevel::Warning, "gateway", "upstream.unread_statement",
                { { "upstream", upstream.id }, { "service", upstream.service }, { "name", header.name },
                    { "value", header.value } });
    }
}

void reportStatement(
    const Routing::UpstreamRecord& upstream, const Routing::UpstreamStatement& statement, std::string_view requestId)
{
    Common::Json fields { { "upstream", upstream.id }, { "born", upstream.born }, { "service", upstream.service },
        { "request", std::string(requestId) } };
    if (statement.isLeaving) {
        GatewayMetrics::statementReceived(GatewayMetrics::StatementKind::Leaving);
        Common::log(LogLevel::Info, "gateway", "upstream.says_leaving", fields);
    }
    if (statement.cooldown) {
        GatewayMetrics::statementReceived(GatewayMetrics::StatementKind::Cooldown);
        fields["seconds"] = Common::toSeconds(*statement.cooldown);
        Common::log(LogLevel::Info, "gateway", "upstream.asked_rest", std::move(fields));
    }
}

} // namespace Brassladder::RouteServing::Gateway
