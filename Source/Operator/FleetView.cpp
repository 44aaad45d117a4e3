// SPDX-License-Identifier: Apache-2.0
#include "Operator/FleetView.h"

#include <algorithm>
#include <sstream>

namespace Brassladder::Operator {

// Whether the line is a sample of the metric, with or without labels.
static bool isSampleOf(const std::string& line, std::string_view name)
{
    return line.starts_with(name) && line.size() > name.size()
        && (line[name.size()] == ' ' || line[name.size()] == '{');
}

// Returns the sum of a metric over its labels, or nullopt if the text does not contain it.
static std::optional<double> sumOfMetric(std::string_view text, std::string_view name)
{
    std::optional<double> sum;
    std::istringstream lines { std::string(text) };
    for (std::string line; std::getline(lines, line);) {
        if (!isSampleOf(line, name))
            continue;
        double value = 0;
        if (std::istringstream(line.substr(line.rfind(' ') + 1)) >> value)
            sum = sum.value_or(0) + value;
    }
    return sum;
}

static uint64_t integerMetric(std::string_view text, std::string_view name)
{
    return static_cast<uint64_t>(sumOfMetric(text, name).value_or(0));
}

// Reads the range of the engines' slowdowns over all services.
static void parseSlowdowns(std::string_view text, RouterView& view)
{
    std::istringstream lines { std::string(text) };
    for (std::string line; std::getline(lines, line);) {
        if (!isSampleOf(line, "brassladder_engine_slowdown"))
            continue;
        double value = 0;
        if (!(std::istringstream(line.substr(line.rfind(' ') + 1)) >> value) || value <= 0)
            continue;
        view.leastSlowdown = view.leastSlowdown > 0 ? std::min(view.leastSlowdown, value) : value;
        view.greatestSlowdown = std::max(view.greatestSlowdown, value);
    }
}

std::optional<RouterView> parseRouterView(const Common::Endpoint& metrics, std::string_view text)
{
    auto isHub = sumOfMetric(text, "brassladder_fleet_is_hub");
    if (!isHub)
        return std::nullopt;
    RouterView view;
    view.metrics = metrics;
    view.isHub = *isHub > 0;
    view.readsStore = integerMetric(text, "brassladder_fleet_reads_store") > 0;
    view.configurationVersion = integerMetric(text, "brassladder_configuration_version");
    view.configurationAgeSeconds = sumOfMetric(text, "brassladder_configuration_age_seconds").value_or(0);
    view.upstreamsAgeSeconds = sumOfMetric(text, "brassladder_upstreams_age_seconds").value_or(0);
    view.fleetSize = integerMetric(text, "brassladder_fleet_size");
    view.storeCalls = integerMetric(text, "brassladder_store_calls_total");
    view.upstreamsInCooldown = integerMetric(text, "brassladder_upstreams_resting");
    view.limitedUpstreams = integerMetric(text, "brassladder_upstreams_limited");
    view.limitedWorkspaces = integerMetric(text, "brassladder_workspaces_limited");
    view.dutiesToken = integerMetric(text, "brassladder_duties_token");
    view.usageReportedBefore = integerMetric(text, "brassladder_usage_reported_before");
    parseSlowdowns(text, view);
    return view;
}

std::string staleReason(const RouterView& router, std::span<const RouterView> fleet, Common::Milliseconds maxAge)
{
    uint64_t newest = 0;
    for (const auto& other : fleet)
        newest = std::max(newest, other.configurationVersion);
    if (router.configurationVersion < newest)
        return "configuration " + std::to_string(newest) + " is active on another router";
    auto limit = Common::toSeconds(maxAge);
    if (router.configurationAgeSeconds > limit)
        return "configuration not confirmed";
    return router.upstreamsAgeSeconds > limit ? "upstreams not confirmed" : "";
}

} // namespace Brassladder::Operator
