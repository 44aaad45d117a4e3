// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/GatewayMetrics.h"

#include "Common/Metrics.h"

namespace Brassladder::RouteServing::Gateway::GatewayMetrics {

using Common::Metrics::counter;
using Common::Metrics::seconds;

static constexpr unsigned statusesPerClass = 100; // RFC 9110, 15: 2xx, 4xx and so on.

void requestEnded(unsigned status, std::string_view reason, Common::Duration time)
{
    auto statusClass = std::to_string(status / statusesPerClass) + "xx";
    counter("brassladder_gateway_requests_total", "Requests by kind of status and reason of our own",
        { { "status", statusClass }, { "reason", std::string(reason) } })
        .Increment();
    static auto& s_time = seconds("brassladder_gateway_request_seconds", "From arrival to the end of the answer");
    s_time.Observe(Common::toSeconds(time));
}

void firstByte(Common::Duration time)
{
    static auto& s_time = seconds("brassladder_gateway_first_byte_seconds", "From arrival to the answer's first byte");
    s_time.Observe(Common::toSeconds(time));
}

void attemptFailed(Routing::AttemptOutcome outcome, bool retried)
{
    counter("brassladder_gateway_failed_tries_total", "Tries at an upstream that gave no answer",
        { { "fate", std::string(Routing::fateLabel(outcome)) }, { "again", retried ? "yes" : "no" } })
        .Increment();
}

} // namespace Brassladder::RouteServing::Gateway::GatewayMetrics
