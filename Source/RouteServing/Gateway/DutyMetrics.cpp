// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/DutyMetrics.h"

#include "Common/Metrics.h"

namespace Brassladder::RouteServing::Gateway::DutyMetrics {

using Common::Metrics::counter;

static std::string_view label(LeaseChange change)
{
    switch (change) {
    case LeaseChange::Claimed:
        return "claimed";
    case LeaseChange::Released:
        return "released";
    case LeaseChange::Lost:
        return "lost";
    }
    return "";
}

std::string_view label(DutyCallOutcome outcome)
{
    switch (outcome) {
    case DutyCallOutcome::Accepted:
        return "accepted";
    case DutyCallOutcome::Conflict:
        return "conflict";
    case DutyCallOutcome::Busy:
        return "busy";
    case DutyCallOutcome::Rejected:
        return "rejected";
    case DutyCallOutcome::NoResponse:
        return "no_response";
    }
    return "";
}

void leaseChanged(LeaseChange change)
{
    counter("brassladder_duties_lease_changes_total", "Leases of the fleet's duties that this router won or lost",
        { { "change", std::string(label(change)) } })
        .Increment();
}

void dutyState(uint64_t ownToken, uint64_t firstUnreported)
{
    Common::Metrics::gauge(
        "brassladder_duties_token", "Fencing token of the duties while this router holds them, else 0")
        .Set(static_cast<double>(ownToken));
    Common::Metrics::gauge(
        "brassladder_usage_reported_before", "Usage windows before this one are reported or given up")
        .Set(static_cast<double>(firstUnreported));
}

void callEnded(std::string_view call, DutyCallOutcome outcome)
{
    counter("brassladder_duties_calls_total", "Calls to the platform as holder of the duties",
        { { "call", std::string(call) }, { "outcome", std::string(label(outcome)) } })
        .Increment();
}

std::string_view label(ConflictCause cause)
{
    switch (cause) {
    case ConflictCause::LaterToken:
        return "later_token";
    case ConflictCause::UnknownToken:
        return "unknown_token";
    case ConflictCause::NoCapacity:
        return "no_capacity";
    }
    return "";
}

void conflictResolved(std::string_view call, ConflictCause cause)
{
    counter("brassladder_duties_conflicts_total", "Calls that the platform refused with a conflict, by cause",
        { { "call", std::string(call) }, { "cause", std::string(label(cause)) } })
        .Increment();
}

void usageWindowClosed(std::string_view outcome)
{
    counter("brassladder_usage_windows_total", "Usage windows that this router reported or gave up",
        { { "how", std::string(outcome) } })
        .Increment();
}

void engineCounts(const std::string& service, unsigned servingEngines, const std::optional<Duties::CapacityNeed>& need)
{
    auto set = [&](const char* quantity, unsigned engines) {
        Common::Metrics::gauge("brassladder_capacity_engines", "Engines of a service whose capacity this router orders",
            { { "service", service }, { "what", quantity } })
            .Set(engines);
    };
    set("standing", servingEngines);
    if (!need)
        return;
    set("lasting", need->sustained);
    set("ahead", need->withHeadroom);
}

void needParts(const std::string& service, const Duties::CapacityParts& parts)
{
    auto set = [&](const char* part, double engines) {
        Common::Metrics::gauge("brassladder_capacity_need",
            "Engines of a service that this router orders, by what they are needed for",
            { { "service", service }, { "part", part } })
            .Set(engines);
    };
    set("prefill", parts.prefill);
    set("decode", parts.decode);
    set("headroom", parts.headroom);
    set("reserve", parts.reserve);
    set("wanted", parts.wanted);
}

} // namespace Brassladder::RouteServing::Gateway::DutyMetrics
