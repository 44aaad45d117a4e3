// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/GatewayMetrics.h"

#include "Common/Metrics.h"

namespace Brassladder::RouteServing::Gateway::GatewayMetrics {

using Common::Metrics::counter;
using Common::Metrics::gauge;
using Common::Metrics::seconds;

static constexpr unsigned statusesPerClass = 100; // RFC 9110, section 15: 2xx, 4xx and so on.

void requestEnded(unsigned status, std::string_view reason, Common::Duration time)
{
    auto statusClass = std::to_string(status / statusesPerClass) + "xx";
    counter("brassladder_gateway_requests_total",
        "Requests by status class and by the router's reason to refuse or cut them",
        { { "status", statusClass }, { "reason", std::string(reason) } })
        .Increment();
    static auto& s_time
        = seconds("brassladder_gateway_request_seconds", "Time from arrival to the end of the response");
    s_time.Observe(Common::toSeconds(time));
}

void firstByte(Common::Duration time)
{
    static auto& s_time
        = seconds("brassladder_gateway_first_byte_seconds", "Time from arrival to the first byte of the response");
    s_time.Observe(Common::toSeconds(time));
}

void attemptFailed(Routing::AttemptOutcome outcome, Common::ConnectionEnd end, bool retried)
{
    counter("brassladder_gateway_failed_tries_total", "Attempts at an upstream that failed",
        { { "fate", std::string(Routing::fateLabel(outcome)) }, { "ended", std::string(Common::name(end)) },
            { "again", retried ? "yes" : "no" } })
        .Increment();
}

static const char* label(StatementKind what)
{
    switch (what) {
    case StatementKind::Cooldown:
        return "rest";
    case StatementKind::Leaving:
        return "leaving";
    case StatementKind::Limit:
        return "limit";
    }
    return "";
}

void statementReceived(StatementKind what)
{
    counter("brassladder_gateway_upstream_statements_total",
        "Cooldowns, limits and departures that upstreams stated in responses to this router",
        { { "what", label(what) } })
        .Increment();
}

void requestWithheld()
{
    static auto& s_withheld = counter("brassladder_gateway_withheld_total",
        "Requests not sent to the chosen upstream, which had meanwhile stated a cooldown, a limit or that it is "
        "leaving",
        {});
    s_withheld.Increment();
}

void cooldownCount(size_t count)
{
    gauge("brassladder_upstreams_resting", "Upstreams in a cooldown that they requested from this router")
        .Set(static_cast<double>(count));
}

void sendQuotas(const Routing::SendQuotas::Summary& summary)
{
    gauge(
        "brassladder_upstreams_limited", "Upstreams with a request limit for the whole fleet, as known to this router")
        .Set(static_cast<double>(summary.limited));
    gauge("brassladder_quota_allowed", "Requests that this router was allowed to send to upstreams with a limit")
        .Set(static_cast<double>(summary.allowed));
    gauge("brassladder_quota_used", "Requests that this router sent to upstreams with a limit")
        .Set(static_cast<double>(summary.used));
}

void upstreamDisconnected(std::string_view cause)
{
    counter("brassladder_gateway_upstream_breaks_total", "Early ends of attempts at an upstream, by cause",
        { { "cause", std::string(cause) } })
        .Increment();
}

void suspects(const std::map<Routing::Suspicion, size_t>& counts)
{
    for (const auto& [suspicion, count] : counts) {
        if (suspicion == Routing::Suspicion::None)
            continue;
        gauge("brassladder_gateway_suspects", "Requests that were in flight when upstreams crashed, by state",
            { { "state", std::string(Routing::name(suspicion)) } })
            .Set(static_cast<double>(count));
    }
}

void fleetState(const FleetState& state)
{
    gauge("brassladder_fleet_is_hub", "Whether other routers receive their state from this one").Set(state.isHub);
    gauge("brassladder_fleet_reads_store", "Whether this router reads the platform's store for others")
        .Set(state.readsStore);
    gauge("brassladder_fleet_size", "Routers known to this one, including itself")
        .Set(static_cast<double>(state.fleetSize));
    gauge("brassladder_configuration_version", "Version of the configuration in force")
        .Set(static_cast<double>(state.configurationVersion));
    gauge("brassladder_configuration_age_seconds", "Time since the configuration was last confirmed as the newest")
        .Set(Common::toSeconds(state.configurationAge));
    gauge("brassladder_upstreams_age_seconds", "Time since the list of upstreams was last confirmed")
        .Set(Common::toSeconds(state.upstreamsAge));
}

} // namespace Brassladder::RouteServing::Gateway::GatewayMetrics
