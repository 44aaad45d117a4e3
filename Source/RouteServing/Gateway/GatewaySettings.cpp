// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/GatewaySettings.h"

#include "RouteServing/Routing/BoundBudgets.h"

#include <absl/strings/str_split.h>
#include <algorithm>
#include <array>

namespace Brassladder::RouteServing::Gateway {

using Common::Json;
using Common::SettingSpec;
using Common::SettingType;

static const std::array s_table {
    SettingSpec { "/id", SettingType::Text, Json(), "", 0, 0, "Name of this instance" },
    SettingSpec { "/failure_domain", SettingType::Text, "unknown", "", 0, 0, "Failure domain of this instance" },
    SettingSpec { "/regions", SettingType::TextList, Json::array(), "", 0, 0,
        "Regions of the failure domains, each as DOMAIN=REGION; needed by routes and workspaces with allowed regions" },
    SettingSpec { "/fleet_key", SettingType::Text, Json(), "", 0, 0, "Key that peers show" },
    SettingSpec { "/threads", SettingType::Integer, 1, "threads", 1, 64, "Threads that serve requests" },
    SettingSpec { "/callers/listen", SettingType::ListenText, "127.0.0.1:0", "", 0, 0, "Where callers connect" },
    SettingSpec { "/callers/max_connections", SettingType::Integer, 2000, "connections", 1, 1'000'000,
        "Accepted connections of all listeners at one time; fewer if the descriptors or the memory allow fewer" },
    SettingSpec {
        "/callers/max_header_fields", SettingType::Integer, 256, "fields", 16, 10'000, "Header fields of one request" },
    SettingSpec { "/instance/memory_mb", SettingType::Integer, 0, "MB", 0, 1'000'000,
        "Memory of the instance, of which accepted connections may hold 2/5; 0: as the system shows" },
    SettingSpec { "/instance/descriptors", SettingType::Integer, 0, "descriptors", 0, 100'000'000,
        "File descriptors that the process may open; 0: as the system shows" },
    SettingSpec { "/readiness/listen", SettingType::ListenText, "127.0.0.1:0", "", 0, 0,
        "Where the balancer asks for readiness" },
    SettingSpec { "/metrics/listen", SettingType::ListenText, "127.0.0.1:0", "", 0, 0, "Where metrics are served" },
    SettingSpec { "/inner/listen", SettingType::ListenText, "127.0.0.1:0", "", 0, 0, "Where peers connect" },
    SettingSpec { "/inner/seeds", SettingType::EndpointList, Json::array(), "", 0, 0,
        "Where to ask for the other routers at the start; with none, the store" },
    SettingSpec { "/inner/processor_share", SettingType::Number, 0, "cores", 0, 1024,
        "Share of a processor that the instance has; the largest instances become hubs; 0 if unknown" },
    SettingSpec { "/inner/first_start", SettingType::Boolean, false, "", 0, 0,
        "Whether the whole fleet starts for the first time" },
    SettingSpec { "/platform/store", SettingType::EndpointText, Json(), "", 0, 0, "The platform's store" },
    SettingSpec { "/duties/platform", SettingType::EndpointList, Json::array(), "", 0, 0,
        "Where the platform takes the calls of the duties' holder; with none, the fleet has no duties" },
    SettingSpec { "/duties/open", SettingType::Text, "usage", "", 0, 0,
        "Duties of the fleet, separated by commas: usage, autoscale" },
    SettingSpec { "/duties/lease_ms", SettingType::Integer, 3000, "ms", 500, 600'000,
        "Another router takes the duties over when it has seen nothing of their holder for so long" },
    SettingSpec { "/duties/thaw_ms", SettingType::Integer, 300, "ms", 0, 60'000,
        "The holder stops acting so much before its lease ends; under half of the lease" },
    SettingSpec { "/duties/usage_window_s", SettingType::Number, 5, "s", 1, 86'400, "Length of a usage window" },
    SettingSpec { "/duties/usage_delay_s", SettingType::Number, 10, "s", 1, 86'400,
        "A window's usage is due so long after its end" },
    SettingSpec { "/bounds/configuration_ms", SettingType::Integer, 2000, "ms", 200, 600'000,
        "A new configuration is in force after this" },
    SettingSpec { "/bounds/leaving_ms", SettingType::Integer, 2000, "ms", 100, 600'000,
        "A leaving upstream gets nothing new after this" },
    SettingSpec { "/bounds/revocation_ms", SettingType::Integer, 5000, "ms", 500, 600'000,
        "A withdrawn key is not used after this" },
    SettingSpec { "/bounds/strict_revocation", SettingType::Boolean, false, "", 0, 0,
        "Whether the bound on withdrawn keys holds also when the store cannot be read" },
    SettingSpec { "/bounds/grace_s", SettingType::Number, 8, "s", 0, 3600, "From SIGTERM until the process is killed" },
    SettingSpec { "/bounds/retry_ratio", SettingType::Number, 0.1, "", 0, 10, "Retries of the fleet for each request" },
    SettingSpec { "/bounds/retry_window_s", SettingType::Number, 10, "s", 1, 3600, "Window of that ratio" },
    SettingSpec { "/bounds/retry_allowance", SettingType::Number, 0, "retries", 0, 1'000'000,
        "Retries of the fleet in a window, beyond the ratio" },
    SettingSpec { "/overload/enabled", SettingType::Boolean, true, "", 0, 0,
        "Whether generations that the engines have no capacity for are held or refused" },
    SettingSpec { "/overload/max_held", SettingType::Integer, 64, "requests", 0, 100'000,
        "Requests that the instance holds at one time until engines have capacity; 0: none" },
};

std::span<const SettingSpec> GatewaySettings::table() { return s_table; }

static Common::Milliseconds fromSeconds(double seconds)
{
    return Common::Milliseconds(static_cast<int64_t>(seconds * 1000));
}

// Returns nullopt if no platform endpoint is configured.
static std::optional<GatewaySettings::Duties> dutySettings(const Common::Settings& settings)
{
    auto platform = settings.list("/duties/platform");
    if (platform.empty())
        return std::nullopt;
    GatewaySettings::Duties result;
    result.platform = valueOf(Common::parseEndpoint(platform.front()));
    for (auto duty : absl::StrSplit(settings.text("/duties/open"), ',')) {
        result.reportsUsage |= duty == "usage";
        result.ordersCapacity |= duty == "autoscale";
    }
    result.lease = Duties::LeaseTimes::fromDurationAndMargin(
        settings.milliseconds("/duties/lease_ms"), settings.milliseconds("/duties/thaw_ms"));
    result.usage.window = fromSeconds(settings.number("/duties/usage_window_s"));
    result.usage.delay = fromSeconds(settings.number("/duties/usage_delay_s"));
    return result;
}

// Entries without a separator name no region and are ignored.
static Routing::RegionsByDomain regionsByDomain(const std::vector<std::string>& entries)
{
    Routing::RegionsByDomain regions;
    for (const auto& entry : entries) {
        auto separator = entry.find('=');
        if (separator != std::string::npos)
            regions.emplace(entry.substr(0, separator), entry.substr(separator + 1));
    }
    return regions;
}

// Of GatewaySettings::capacity.
static constexpr double unitsPerCore = 1000;

Common::ConnectionBudget::Capacity GatewaySettings::connectionCapacity() const
{
    auto capacity = Common::ConnectionBudget::Capacity::ofInstance(memoryBytes, descriptors);
    capacity.connections = std::min(capacity.connections, maxConnections);
    return capacity;
}

Routing::RefreshIntervals GatewaySettings::refreshIntervals() const
{
    return Routing::RefreshIntervals::within(configurationBound, leavingBound);
}

std::vector<Common::TimeBudget> GatewaySettings::timeBudgets(size_t routers) const
{
    auto intervals = refreshIntervals();
    auto budgets = Routing::leavingBudgets(intervals, leavingBound, routers);
    auto append
        = [&](const std::vector<Common::TimeBudget>& more) { budgets.insert(budgets.end(), more.begin(), more.end()); };
    append(Routing::configurationBudgets(intervals, configurationBound, routers));
    append(Routing::lostLinkBudgets());
    if (revocationBound.count() > 0)
        append(Routing::keyBudgets(revocationBound));
    return budgets;
}

Common::Status GatewaySettings::checkBounds() const
{
    auto exceeded = Common::exceededBudgets(timeBudgets(1));
    if (exceeded.empty())
        return Common::Done {};
    return Common::makeError(
        Common::ErrorKind::InvalidConfiguration, "/bounds: a bound is too short: " + exceeded.front().text());
}

GatewaySettings GatewaySettings::from(const Common::Settings& settings)
{
    auto listen
        = [&](std::string_view pointer) { return valueOf(Common::parseListenEndpoint(settings.text(pointer))); };
    GatewaySettings result;
    result.id = settings.text("/id");
    result.failureDomain = settings.text("/failure_domain");
    result.regions = regionsByDomain(settings.list("/regions"));
    result.fleetKey = settings.text("/fleet_key");
    result.threads = static_cast<unsigned>(settings.integer("/threads"));
    result.callers = listen("/callers/listen");
    result.maxConnections = static_cast<size_t>(settings.integer("/callers/max_connections"));
    result.maxHeaderFields = static_cast<size_t>(settings.integer("/callers/max_header_fields"));
    result.memoryBytes = settings.megabytes("/instance/memory_mb");
    result.descriptors = static_cast<size_t>(settings.integer("/instance/descriptors"));
    result.readiness = listen("/readiness/listen");
    result.metrics = listen("/metrics/listen");
    result.inner = listen("/inner/listen");
    for (const auto& seed : settings.list("/inner/seeds"))
        result.seeds.push_back(valueOf(Common::parseEndpoint(seed)));
    result.capacity = static_cast<unsigned>(settings.number("/inner/processor_share") * unitsPerCore);
    result.isFirstStart = settings.boolean("/inner/first_start");
    result.store = valueOf(Common::parseEndpoint(settings.text("/platform/store")));
    result.configurationBound = settings.milliseconds("/bounds/configuration_ms");
    result.leavingBound = settings.milliseconds("/bounds/leaving_ms");
    if (settings.boolean("/bounds/strict_revocation"))
        result.revocationBound = settings.milliseconds("/bounds/revocation_ms");
    result.gracePeriod = fromSeconds(settings.number("/bounds/grace_s"));
    result.retryRatio = settings.number("/bounds/retry_ratio");
    result.retryWindow = fromSeconds(settings.number("/bounds/retry_window_s"));
    result.retryAllowance = settings.number("/bounds/retry_allowance");
    result.limitsOverload = settings.boolean("/overload/enabled");
    result.maxHeldRequests = static_cast<size_t>(settings.integer("/overload/max_held"));
    result.duties = dutySettings(settings);
    return result;
}

} // namespace Brassladder::RouteServing::Gateway
