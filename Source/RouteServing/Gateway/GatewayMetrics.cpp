// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/GatewayMetrics.h"

#include "Common/Metrics.h"

namespace Brassladder::RouteServing::Gateway::GatewayMetrics {

using Common::Metrics::counter;
using Common::Metrics::durationHistogram;
using Common::Metrics::gauge;

static constexpr unsigned statusesPerClass = 100; // RFC 9110, section 15: 2xx, 4xx and so on.

void requestEnded(unsigned status, std::string_view reason, Common::Duration time)
{
    auto statusClass = std::to_string(status / statusesPerClass) + "xx";
    counter("brassladder_gateway_requests_total", "Requests by kind of status and reason of our own",
        { { "status", statusClass }, { "reason", std::string(reason) } })
        .Increment();
    static auto& s_time
        = durationHistogram("brassladder_gateway_request_seconds", "From arrival to the end of the answer");
    s_time.Observe(Common::toSeconds(time));
}

void firstByte(Common::Duration time)
{
    static auto& s_time
        = durationHistogram("brassladder_gateway_first_byte_seconds", "From arrival to the answer's first byte");
    s_time.Observe(Common::toSeconds(time));
}

void listAgeAtSend(Common::Duration age)
{
    static auto& s_age = durationHistogram(
        "brassladder_gateway_list_age_at_send_seconds", "Age of the list of upstreams at a request's first byte");
    s_age.Observe(Common::toSeconds(age));
}

void timeBudgets(std::span<const Common::TimeBudget> budgets)
{
    std::map<std::string, double> longest;
    for (const auto& budget : budgets) {
        auto share = Common::toSeconds(budget.total()) / Common::toSeconds(budget.bound());
        auto& known = longest[budget.guarantee()];
        known = std::max(known, share);
    }
    for (const auto& [guarantee, share] : longest)
        gauge("brassladder_time_budget_share", "Longest path of a guarantee as a share of its bound",
            { { "guarantee", guarantee } })
            .Set(share);
}

void attemptFailed(Routing::AttemptOutcome outcome, Common::ConnectionEnd end, bool retried)
{
    counter("brassladder_gateway_failed_tries_total", "Tries at an upstream that gave no answer",
        { { "fate", std::string(Routing::fateLabel(outcome)) }, { "ended", std::string(Common::name(end)) },
            { "again", retried ? "yes" : "no" } })
        .Increment();
}

void upstreamBodyEnded(Common::BodyFraming framing, std::string_view end)
{
    counter("brassladder_gateway_upstream_bodies_total", "Bodies of responses of upstreams, by how they ended",
        { { "framing", std::string(Common::name(framing)) }, { "end", std::string(end) } })
        .Increment();
}

void runInterrupted(Routing::RunSign sign, Common::Duration time)
{
    counter("brassladder_gateway_interrupted_runs_total",
        "Runs that were interrupted after their first event, by what is known of their end",
        { { "sign", std::string(Routing::name(sign)) },
            { "continues", Routing::mayContinueElsewhere(sign) ? "yes" : "no" } })
        .Increment();
    static auto& s_time = durationHistogram("brassladder_gateway_run_check_seconds",
        "From the interruption of a run until it is known whether it has ended");
    s_time.Observe(Common::toSeconds(time));
}

void runDiscarded(Routing::RunSign sign)
{
    counter("brassladder_gateway_discarded_runs_total",
        "Runs that were interrupted before their first event and begin again, by what is known of their end",
        { { "sign", std::string(Routing::name(sign)) } })
        .Increment();
}

static const char* label(ContinuedAt at)
{
    switch (at) {
    case ContinuedAt::SameVersion:
        return "same";
    case ContinuedAt::OtherVersion:
        return "other";
    case ContinuedAt::Unknown:
        return "unknown";
    }
    return "unknown";
}

void streamContinued(ContinuedWithin within, ContinuedAt at)
{
    counter("brassladder_gateway_streams_continued_total", "Streams for whose continuation an upstream was chosen",
        { { "within", within == ContinuedWithin::Response ? "response" : "caller_attempts" },
            { "version", label(at) } })
        .Increment();
}

void streamOrigins(const Routing::StreamOriginTable::Summary& summary)
{
    gauge("brassladder_stream_origins", "Streams of which this router knows where they began")
        .Set(static_cast<double>(summary.records));
    gauge("brassladder_stream_origins_dropped", "Such records that were dropped for lack of space")
        .Set(static_cast<double>(summary.dropped));
}

static const char* label(ConnectionPath path)
{
    switch (path) {
    case ConnectionPath::None:
        return "none";
    case ConnectionPath::Direct:
        return "direct";
    case ConnectionPath::Relay:
        return "relay";
    }
    return "none";
}

void upstreamConnection(ConnectionPath path)
{
    counter("brassladder_gateway_upstream_connections_total", "Attempts to open a connection to an upstream, by path",
        { { "path", label(path) } })
        .Increment();
}

void addTunnels(int change)
{
    Common::Metrics::gauge("brassladder_tunnels", "Open tunnels of other routers to upstreams").Increment(change);
}

static const char* label(StatementKind kind)
{
    switch (kind) {
    case StatementKind::Cooldown:
        return "rest";
    case StatementKind::Leaving:
        return "leaving";
    case StatementKind::Limit:
        return "limit";
    case StatementKind::Fragile:
        return "fragile";
    }
    return "";
}

void statementReceived(StatementKind kind)
{
    counter("brassladder_gateway_upstream_statements_total",
        "Times that an upstream asked for rest, named a limit, said that it leaves or that it is fragile, by its "
        "responses "
        "to this router",
        { { "what", label(kind) } })
        .Increment();
}

void unreadStatement()
{
    static auto& s_unread = counter("brassladder_gateway_unread_statements_total",
        "Statements of upstreams about themselves that this router does not act on", {});
    s_unread.Increment();
}

void requestRejected(std::string_view service)
{
    counter("brassladder_gateway_upstream_rejections_total",
        "Requests that upstreams rejected as not executed, by service", { { "service", std::string(service) } })
        .Increment();
}

void requestWithheld()
{
    static auto& s_withheld = counter("brassladder_gateway_withheld_total",
        "Requests that were not sent to the upstream chosen, which had asked for rest, named a limit, or said that it "
        "leaves",
        {});
    s_withheld.Increment();
}

void cooldownCount(size_t count)
{
    gauge("brassladder_upstreams_resting", "Upstreams that have asked this router for rest that is not over")
        .Set(static_cast<double>(count));
}

void sendQuotas(const Routing::SendQuotas::Summary& summary)
{
    gauge("brassladder_upstreams_limited", "Upstreams with a limit for all routers together, as this router knows")
        .Set(static_cast<double>(summary.limited));
    gauge("brassladder_quota_allowed", "Requests that this router was allowed to send to upstreams with a limit")
        .Set(static_cast<double>(summary.granted));
    gauge("brassladder_quota_used", "Of those, requests that it sent").Set(static_cast<double>(summary.used));
}

static const char* label(SlotRequestEnd end)
{
    switch (end) {
    case SlotRequestEnd::Granted:
        return "granted";
    case SlotRequestEnd::Denied:
        return "denied";
    case SlotRequestEnd::Unanswered:
        return "unanswered";
    }
    return "";
}

void slotRequestEnded(SlotRequestEnd end)
{
    counter("brassladder_gateway_slot_requests_total", "Requests for a slot of a fragile upstream, by result",
        { { "result", label(end) } })
        .Increment();
}

void fragileUpstreams(const FragileState& state)
{
    gauge("brassladder_upstreams_fragile", "Upstreams that fail if they reject too many requests, as this router knows")
        .Set(static_cast<double>(state.fragile));
    gauge("brassladder_slots_coordinated", "Fragile upstreams whose slots this router coordinates")
        .Set(static_cast<double>(state.coordinated));
    gauge("brassladder_slots_reserved", "Slots of these upstreams that are reserved")
        .Set(static_cast<double>(state.reserved));
    gauge("brassladder_slots_waiting", "Requests of all routers that wait for such a slot")
        .Set(static_cast<double>(state.waiting));
}

void upstreamDisconnected(std::string_view cause)
{
    counter("brassladder_gateway_upstream_breaks_total",
        "Times that attempts at an upstream ended without a response, by what was found there",
        { { "cause", std::string(cause) } })
        .Increment();
}

void suspects(std::string_view kind, const std::map<Routing::Suspicion, size_t>& counts)
{
    for (const auto& [suspicion, count] : counts) {
        if (suspicion == Routing::Suspicion::None)
            continue;
        gauge("brassladder_gateway_suspects",
            "Requests and parts of prompts that were under way when upstreams crashed, by what follows",
            { { "kind", std::string(kind) }, { "state", std::string(Routing::name(suspicion)) } })
            .Set(static_cast<double>(count));
    }
}

void engineSlowdowns(const std::map<std::string, Routing::EnginePaces::Range, std::less<>>& ranges)
{
    for (const auto& [name, range] : ranges) {
        auto set = [&service = name](const char* which, double value) {
            gauge("brassladder_engine_slowdown",
                "Time that engines take, relative to the average of their service; least, median and greatest",
                { { "service", service }, { "engine", which } })
                .Set(value);
        };
        set("least", range.least);
        set("median", range.median);
        set("greatest", range.greatest);
    }
}

void paceTableSent(size_t rows, size_t bytes)
{
    static auto& s_rows
        = counter("brassladder_pace_rows_sent_total", "Rows of engines' paces that were sent to other routers", {});
    static auto& s_bytes
        = counter("brassladder_pace_bytes_sent_total", "Bytes of engines' paces that were sent to other routers", {});
    s_rows.Increment(static_cast<double>(rows));
    s_bytes.Increment(static_cast<double>(bytes));
}

void demandsSent(size_t rows, size_t bytes)
{
    static auto& s_rows = counter(
        "brassladder_demand_rows_sent_total", "Rows of what workspaces ask for that were sent to other routers", {});
    static auto& s_bytes
        = counter("brassladder_demand_bytes_sent_total", "Bytes of the tables that carried these rows", {});
    s_rows.Increment(static_cast<double>(rows));
    s_bytes.Increment(static_cast<double>(bytes));
}

void limitedWorkspaces(size_t count)
{
    gauge("brassladder_workspaces_limited", "Workspaces over their share of a rank that is short of capacity")
        .Set(static_cast<double>(count));
}

void fleetState(const FleetState& state)
{
    gauge("brassladder_fleet_is_hub", "Whether other routers get their state from this one").Set(state.isHub);
    gauge("brassladder_fleet_reads_store", "Whether this router reads the platform's store for others")
        .Set(state.readsStore);
    gauge("brassladder_fleet_size", "Routers that this one knows, itself included")
        .Set(static_cast<double>(state.fleetSize));
    gauge("brassladder_configuration_version", "Version of the configuration in force")
        .Set(static_cast<double>(state.configurationVersion));
    gauge("brassladder_configuration_age_seconds", "Since the configuration was confirmed to be the newest")
        .Set(Common::toSeconds(state.configurationAge));
    gauge("brassladder_upstreams_age_seconds", "Since the list of upstreams was confirmed")
        .Set(Common::toSeconds(state.upstreamsAge));
}

} // namespace Brassladder::RouteServing::Gateway::GatewayMetrics
