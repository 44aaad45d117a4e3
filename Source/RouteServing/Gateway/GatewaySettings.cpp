// SPDX-License-Identifier: Apache-2.0
#include "RouteServing/Gateway/GatewaySettings.h"

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
    SettingSpec { "/fleet_key", SettingType::Text, Json(), "", 0, 0, "Key that authenticates peers" },
    SettingSpec { "/threads", SettingType::Integer, 1, "threads", 1, 64, "Threads that serve requests" },
    SettingSpec { "/callers/listen", SettingType::ListenText, "127.0.0.1:0", "", 0, 0, "Address for callers" },
    SettingSpec { "/callers/max_connections", SettingType::Integer, 2000, "connections", 1, 1'000'000,
        "Maximum number of concurrent caller connections" },
    SettingSpec { "/readiness/listen", SettingType::ListenText, "127.0.0.1:0", "", 0, 0,
        "Address for the balancer's readiness checks" },
    SettingSpec { "/metrics/listen", SettingType::ListenText, "127.0.0.1:0", "", 0, 0, "Address that serves metrics" },
    SettingSpec { "/inner/listen", SettingType::ListenText, "127.0.0.1:0", "", 0, 0, "Address for peers" },
    SettingSpec { "/inner/seeds", SettingType::EndpointList, Json::array(), "", 0, 0,
        "Routers that are asked for the roster at startup; if empty, the store is read" },
    SettingSpec { "/inner/first_start", SettingType::Boolean, false, "", 0, 0,
        "Whether the whole fleet starts for the first time" },
    SettingSpec { "/platform/store", SettingType::EndpointText, Json(), "", 0, 0, "Address of the platform's store" },
    SettingSpec { "/duties/platform", SettingType::EndpointList, Json::array(), "", 0, 0,
        "Address where the platform receives the calls of the duties' holder; if empty, the fleet has no duties" },
    SettingSpec { "/duties/open", SettingType::Text, "usage", "", 0, 0,
        "Duties of the fleet, separated by commas: usage, autoscale" },
    SettingSpec { "/duties/lease_ms", SettingType::Integer, 3000, "ms", 500, 600'000,
        "Time without a record of the holder in the log after which another router takes over the duties" },
    SettingSpec { "/duties/thaw_ms", SettingType::Integer, 300, "ms", 0, 60'000,
        "Time before the end of its lease at which the holder stops acting; at most half of the lease" },
    SettingSpec { "/duties/usage_window_s", SettingType::Number, 5, "s", 1, 86'400, "Length of a usage window" },
    SettingSpec { "/duties/usage_delay_s", SettingType::Number, 10, "s", 1, 86'400,
        "Time from the end of a window until its usage is due" },
    SettingSpec { "/bounds/configuration_ms", SettingType::Integer, 2000, "ms", 200, 600'000,
        "Maximum time until a new configuration is in force" },
    SettingSpec { "/bounds/leaving_ms", SettingType::Integer, 2000, "ms", 100, 600'000,
        "Maximum time until a leaving upstream gets no new requests" },
    SettingSpec { "/bounds/revocation_ms", SettingType::Integer, 5000, "ms", 500, 600'000,
        "Maximum time until a revoked key is no longer accepted" },
    SettingSpec { "/bounds/strict_revocation", SettingType::Boolean, false, "", 0, 0,
        "Whether the bound on revoked keys also holds while the store cannot be read" },
    SettingSpec {
        "/bounds/grace_s", SettingType::Number, 8, "s", 0, 3600, "Time from SIGTERM until the process is killed" },
    SettingSpec { "/bounds/retry_ratio", SettingType::Number, 0.1, "", 0, 10, "Retries of the fleet per request" },
    SettingSpec { "/bounds/retry_window_s", SettingType::Number, 10, "s", 1, 3600, "Window of the retry ratio" },
    SettingSpec { "/bounds/retry_allowance", SettingType::Number, 0, "retries", 0, 1'000'000,
        "Retries of the fleet per window, in addition to the ratio" },
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

GatewaySettings GatewaySettings::from(const Common::Settings& settings)
{
    auto listen
        = [&](std::string_view pointer) { return valueOf(Common::parseListenEndpoint(settings.text(pointer))); };
    GatewaySettings result;
    result.id = settings.text("/id");
    result.failureDomain = settings.text("/failure_domain");
    result.fleetKey = settings.text("/fleet_key");
    result.threads = static_cast<unsigned>(settings.integer("/threads"));
    result.callers = listen("/callers/listen");
    result.callerConnections = static_cast<size_t>(settings.integer("/callers/max_connections"));
    result.readiness = listen("/readiness/listen");
    result.metrics = listen("/metrics/listen");
    result.inner = listen("/inner/listen");
    for (const auto& seed : settings.list("/inner/seeds"))
        result.seeds.push_back(valueOf(Common::parseEndpoint(seed)));
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
    result.duties = dutySettings(settings);
    return result;
}

} // namespace Brassladder::RouteServing::Gateway
