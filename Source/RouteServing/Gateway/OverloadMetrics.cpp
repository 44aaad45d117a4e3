// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/OverloadMetrics.h"

#include "Common/Metrics.h"

#include <algorithm>
#include <string>

namespace Brassladder::RouteServing::Gateway::OverloadMetrics {

using Common::Metrics::counter;
using Common::Metrics::durationHistogram;
using Common::Metrics::gauge;

void decided(const Routing::OverloadDecision& decision, size_t rank)
{
    counter("brassladder_overload_decisions_total", "Generations by outcome, reason and urgency rank",
        { { "outcome", std::string(Routing::name(decision.outcome)) },
            { "reason", std::string(Routing::name(decision.reason)) },
            { "rank", std::to_string(std::min(rank, maxRankLabel)) } })
        .Increment();
}

void held(Common::Duration time)
{
    static auto& s_time = durationHistogram(
        "brassladder_overload_held_seconds", "Time that generations waited at this router for engines with capacity");
    s_time.Observe(Common::toSeconds(time));
}

void heldNow(size_t count, Common::Duration oldest)
{
    gauge("brassladder_overload_held", "Generations that wait at this router for engines with capacity")
        .Set(static_cast<double>(count));
    gauge("brassladder_overload_held_age_seconds", "Time since the first of them has arrived")
        .Set(Common::toSeconds(oldest));
}

void startError(Common::Duration expected, Common::Duration actual)
{
    bool isLate = actual > expected;
    durationHistogram("brassladder_overload_start_error_seconds",
        "Difference between the expected and the actual first event of generations",
        { { "actual", isLate ? "later" : "earlier" } })
        .Observe(Common::toSeconds(isLate ? actual - expected : expected - actual));
}

} // namespace Brassladder::RouteServing::Gateway::OverloadMetrics
