// SPDX-License-Identifier: Apache-2.0
#include "ClassServing/Frontend/ClassRouterSettings.h"

#include <algorithm>
#include <array>

namespace Brassladder::ClassServing::Frontend {

using Common::Json;
using Common::SettingSpec;
using Common::SettingType;

static const std::array s_table {
    SettingSpec { "/id", SettingType::Text, Json(), "", 0, 0, "Name of this instance, as in the instance list" },
    SettingSpec { "/failure_domain", SettingType::Text, "unknown", "", 0, 0, "Failure domain of this instance" },
    SettingSpec { "/fleet_key", SettingType::Text, Json(), "", 0, 0, "Key that peers and operators show" },
    SettingSpec { "/http/listen", SettingType::ListenText, "127.0.0.1:0", "", 0, 0,
        "Where callers connect; port 0 lets the kernel choose" },
    SettingSpec { "/inner/listen", SettingType::ListenText, "127.0.0.1:0", "", 0, 0, "Where peers connect" },
    SettingSpec { "/platform/log", SettingType::EndpointText, Json(), "", 0, 0, "The platform's log service" },
    SettingSpec {
        "/platform/instance_list", SettingType::EndpointText, Json(), "", 0, 0, "The platform's instance list" },
    SettingSpec {
        "/platform/list_interval_ms", SettingType::Integer, 500, "ms", 10, 60'000, "Between two reads of the list" },
    SettingSpec { "/threads", SettingType::Integer, 2, "threads", 1, 64, "Threads that serve requests" },
    SettingSpec { "/http/max_header_bytes", SettingType::Integer, 16 * 1024, "bytes", 1024, 1024 * 1024,
        "Largest request header" },
    SettingSpec { "/http/max_body_bytes", SettingType::Integer, 1024 * 1024, "bytes", 1024, 64 * 1024 * 1024,
        "Largest request body" },
    SettingSpec { "/http/max_connections", SettingType::Integer, 20'000, "connections", 1, 1'000'000,
        "Accepted connections of all listeners at one time; fewer if the descriptors or the memory allow fewer" },
    SettingSpec {
        "/http/max_header_fields", SettingType::Integer, 256, "fields", 16, 10'000, "Header fields of one request" },
    SettingSpec { "/instance/memory_mb", SettingType::Integer, 0, "MB", 0, 1'000'000,
        "Memory of the instance, of which accepted connections may hold 2/5; 0: as the system shows" },
    SettingSpec { "/instance/descriptors", SettingType::Integer, 0, "descriptors", 0, 100'000'000,
        "File descriptors that the process may open; 0: as the system shows" },
    SettingSpec {
        "/http/idle_ms", SettingType::Integer, 60'000, "ms", 10, 3'600'000, "An idle connection is closed after this" },
    SettingSpec {
        "/http/receive_ms", SettingType::Integer, 10'000, "ms", 10, 600'000, "For one request to arrive whole" },
    SettingSpec { "/http/send_ms", SettingType::Integer, 10'000, "ms", 10, 600'000, "For one write to a caller" },
    SettingSpec { "/membership/heartbeat_ms", SettingType::Integer, 250, "ms", 10, 10'000, "Between two heartbeats" },
    SettingSpec { "/membership/silence_ms", SettingType::Integer, 1500, "ms", 50, 60'000,
        "A peer silent for longer is not alive" },
    SettingSpec {
        "/upstream/load_interval_ms", SettingType::Integer, 500, "ms", 10, 60'000, "Between two load reports" },
    SettingSpec {
        "/upstream/connect_ms", SettingType::Integer, 500, "ms", 1, 60'000, "For a connection to an upstream" },
    SettingSpec { "/upstream/answer_ms", SettingType::Integer, 30'000, "ms", 1, 3'600'000,
        "Until the answer begins, and between its pieces" },
    SettingSpec { "/drain/lag_ms", SettingType::Integer, 2000, "ms", 0, 600'000,
        "The balancer's lag: served for this long after SIGTERM" },
    SettingSpec { "/drain/limit_ms", SettingType::Integer, 300'000, "ms", 0, 3'600'000,
        "The longest wait for requests in flight" },
    SettingSpec { "/claims/partitions", SettingType::Integer, 2, "partitions", 1, 64,
        "Claim streams; the same on all instances" },
    SettingSpec { "/claims/horizon_ms", SettingType::Integer, 86'400'000, "ms", 1000, 604'800'000,
        "How long a key holds; the same on all instances" },
    SettingSpec { "/scheduling/placement", SettingType::Text, "shared_queue", "", 0, 0,
        "How requests are placed; round_robin and two_choices, baselines of measurements, were removed",
        { "shared_queue" } },
    SettingSpec { "/explanations", SettingType::Integer, 4096, "requests", 1, 1'000'000,
        "Requests that can be explained afterwards" },
};

std::span<const SettingSpec> ClassRouterSettings::table() { return s_table; }

ClassRouterSettings ClassRouterSettings::from(const Common::Settings& settings)
{
    ClassRouterSettings result;
    result.id = settings.text("/id");
    result.failureDomain = settings.text("/failure_domain");
    result.fleetKey = settings.text("/fleet_key");
    result.http = valueOf(Common::parseListenEndpoint(settings.text("/http/listen")));
    result.inner = valueOf(Common::parseListenEndpoint(settings.text("/inner/listen")));
    result.log = valueOf(Common::parseEndpoint(settings.text("/platform/log")));
    result.instanceList = valueOf(Common::parseEndpoint(settings.text("/platform/instance_list")));
    result.listInterval = settings.milliseconds("/platform/list_interval_ms");
    result.threads = static_cast<unsigned>(settings.integer("/threads"));
    result.limits.headerBytes = static_cast<size_t>(settings.integer("/http/max_header_bytes"));
    result.limits.bodyBytes = static_cast<size_t>(settings.integer("/http/max_body_bytes"));
    result.limits.headerFields = static_cast<size_t>(settings.integer("/http/max_header_fields"));
    result.connections = Common::ConnectionBudget::Capacity::ofInstance(
        settings.megabytes("/instance/memory_mb"), static_cast<size_t>(settings.integer("/instance/descriptors")));
    result.connections.connections
        = std::min(result.connections.connections, static_cast<size_t>(settings.integer("/http/max_connections")));
    result.limits.idleTimeout = settings.milliseconds("/http/idle_ms");
    result.limits.receiveTimeout = settings.milliseconds("/http/receive_ms");
    result.limits.sendTimeout = settings.milliseconds("/http/send_ms");
    result.heartbeatInterval = settings.milliseconds("/membership/heartbeat_ms");
    result.heartbeatTimeout = settings.milliseconds("/membership/silence_ms");
    result.loadInterval = settings.milliseconds("/upstream/load_interval_ms");
    result.upstream.connect = settings.milliseconds("/upstream/connect_ms");
    result.upstream.response = settings.milliseconds("/upstream/answer_ms");
    result.balancerRemovalDelay = settings.milliseconds("/drain/lag_ms");
    result.drainTimeout = settings.milliseconds("/drain/limit_ms");
    result.claimPartitions = static_cast<uint32_t>(settings.integer("/claims/partitions"));
    result.claimHorizon = settings.milliseconds("/claims/horizon_ms");
    result.explanations = static_cast<size_t>(settings.integer("/explanations"));
    return result;
}

} // namespace Brassladder::ClassServing::Frontend
