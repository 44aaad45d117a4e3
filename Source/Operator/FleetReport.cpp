// SPDX-License-Identifier: Apache-2.0
#include "Operator/FleetReport.h"

#include <iomanip>
#include <sstream>

namespace Brassladder::Operator {

Common::Json toJson(const RouterView& router, const std::string& behind)
{
    return { { "metrics", router.metrics.text() }, { "is_hub", router.isHub }, { "reads_store", router.readsStore },
        { "configuration_version", router.configurationVersion },
        { "configuration_age_s", router.configurationAgeSeconds }, { "upstreams_age_s", router.upstreamsAgeSeconds },
        { "fleet_size", router.fleetSize }, { "store_calls", router.storeCalls },
        { "resting_upstreams", router.upstreamsInCooldown }, { "limited_upstreams", router.limitedUpstreams },
        { "limited_workspaces", router.limitedWorkspaces }, { "duties_token", router.dutiesToken },
        { "usage_reported_before", router.usageReportedBefore }, { "least_slowdown", router.leastSlowdown },
        { "greatest_slowdown", router.greatestSlowdown }, { "behind", behind } };
}

static std::string_view roleOf(const RouterView& router)
{
    if (router.dutiesToken)
        return "duties";
    if (router.readsStore)
        return "reads store";
    return router.isHub ? "hub" : "";
}

std::string toLine(const RouterView& router, const std::string& behind)
{
    // Column widths in characters: an IPv4 address with its port, and the longest role.
    static constexpr int addressWidth = 22;
    static constexpr int roleWidth = 12;
    std::ostringstream line;
    line << std::left << std::setw(addressWidth) << router.metrics.text() << std::setw(roleWidth) << roleOf(router)
         << " configuration " << router.configurationVersion << ", " << std::fixed << std::setprecision(1)
         << router.configurationAgeSeconds << " s old, upstreams " << router.upstreamsAgeSeconds
         << " s old, fleet size " << router.fleetSize << ", store calls " << router.storeCalls;
    if (router.upstreamsInCooldown)
        line << ", " << router.upstreamsInCooldown << " upstreams in cooldown";
    if (router.limitedUpstreams)
        line << ", " << router.limitedUpstreams << " upstreams with a limit";
    if (router.greatestSlowdown > 0)
        line << ", engines take " << std::setprecision(2) << router.leastSlowdown << " to " << router.greatestSlowdown
             << " of the average time";
    if (router.limitedWorkspaces)
        line << ", " << router.limitedWorkspaces << " workspaces over their share";
    if (router.dutiesToken)
        line << ", token " << router.dutiesToken << ", usage reported before window " << router.usageReportedBefore;
    if (!behind.empty())
        line << "  BEHIND: " << behind;
    return line.str();
}

} // namespace Brassladder::Operator
