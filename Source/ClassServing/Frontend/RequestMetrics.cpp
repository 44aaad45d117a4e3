// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/RequestMetrics.h"

#include "Common/Metrics.h"

namespace Brassladder::ClassServing::Frontend::RequestMetrics {

namespace Metrics = Common::Metrics;

static std::string wasteName(Waste waste)
{
    switch (waste) {
    case Waste::CallerGone:
        return "caller_gone";
    case Waste::UpstreamBroken:
        return "upstream_broken";
    case Waste::LostState:
        return "lost_state";
    }
    return "";
}

void arrived(const Config::RequestClass& requestClass)
{
    Metrics::counter("brassladder_requests_total", "Requests by class",
        { { "class", requestClass.policy.name }, { "tier", std::to_string(requestClass.policy.tier) } })
        .Increment();
}

void refused(std::string_view requestClass, Common::ErrorKind kind)
{
    Metrics::counter("brassladder_refusals_total", "Requests that got an error, by reason",
        { { "class", std::string(requestClass) }, { "reason", std::string(Common::name(kind)) } })
        .Increment();
}

void retried(std::string_view requestClass, Common::ErrorKind reason)
{
    Metrics::counter("brassladder_retries_total", "Tries after the first, by the reason of the failure before",
        { { "class", std::string(requestClass) }, { "reason", std::string(Common::name(reason)) } })
        .Increment();
}

void preempted(std::string_view requestClass)
{
    Metrics::counter("brassladder_preemptions_total", "Generations paused for a higher tier",
        { { "class", std::string(requestClass) } })
        .Increment();
}

void answered(const Config::RequestClass& requestClass, Common::Duration after)
{
    const auto& name = requestClass.policy.name;
    bool met = after <= requestClass.policy.target;
    Metrics::counter("brassladder_attainment_total", "Requests that met or missed the target of their class",
        { { "class", name }, { "result", met ? "met" : "missed" } })
        .Increment();
    Metrics::durationHistogram(
        "brassladder_answer_seconds", "Time to the first token or to the answer", { { "class", name } })
        .Observe(Common::toSeconds(after));
}

void completed(std::string_view requestClass, uint32_t tokens)
{
    Metrics::counter(
        "brassladder_completed_total", "Requests answered whole", { { "class", std::string(requestClass) } })
        .Increment();
    Metrics::counter(
        "brassladder_useful_tokens_total", "Tokens of whole answers", { { "class", std::string(requestClass) } })
        .Increment(tokens);
}

void wasted(std::string_view requestClass, Waste waste, uint32_t tokens)
{
    Metrics::counter("brassladder_wasted_tokens_total", "Tokens that were generated for nothing, by reason",
        { { "class", std::string(requestClass) }, { "reason", wasteName(waste) } })
        .Increment(tokens);
}

void waited(const Config::RequestClass& requestClass, Common::Duration wait)
{
    Metrics::durationHistogram(
        "brassladder_wait_seconds", "Time until a slot was granted", { { "class", requestClass.policy.name } })
        .Observe(Common::toSeconds(wait));
}

} // namespace Brassladder::ClassServing::Frontend::RequestMetrics
