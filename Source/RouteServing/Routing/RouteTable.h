// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Duties/CapacityPlan.h"
#include "RouteServing/Routing/HomeRegions.h"
#include "RouteServing/Routing/Urgency.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// The kind of responses on a route, and whether its requests may run more than once.
enum class RouteKind : uint8_t {
    Repeatable, // Idempotent: may run any number of times.
    OnceOnly, // Runs at most once for each attempt of the caller.
    Stream, // An event stream. Runs at most once unless the route is resumable.
};

// A service that receives a share of a route's requests. Weights are relative to their sum.
struct ServiceShare {
    std::string service;
    uint32_t weight { 1 };
};

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; // Begins and ends with a slash.
    RouteKind kind { RouteKind::OnceOnly };
    Common::Milliseconds timeout { 0 }; // Maximum time that a request is held.
    Common::Milliseconds objective { 0 }; // Target time until the response, or until a stream's first event.
    // The longest pause between two events of a stream that its callers accept; zero if the route states none.
    Common::Milliseconds maxPause { 0 };
    unsigned priority { 0 }; // 0 is the most urgent.
    unsigned maxAttempts { 1 }; // Maximum number of upstreams that one request is sent to.
    bool isAnonymous { false }; // Requires no key.
    bool isResumable { false }; // After a failure, another upstream can resume a stream after its last event.
    AllowedRegions allowedRegions; // Of the upstreams that may serve the route.
    std::vector<ServiceShare> shares;

    // Whether a request that may have run may be sent again.
    bool mayRepeat() const { return kind == RouteKind::Repeatable || (kind == RouteKind::Stream && isResumable); }
};

// Traits of a service whose upstreams are model engines that work in batches.
struct EngineTraits {
    unsigned batch { 0 }; // Requests that an engine runs at once.
    bool replicatesKvCache { false }; // An engine can replicate a run's KV cache to another engine as it grows.
    bool fetchesKvCache { false }; // An engine can fetch the cached prefix of a prompt from another engine.
    unsigned tokensPerEvent { 1 }; // Output tokens in one event of a stream.
    // Capacity of the KV cache, for running requests and cached prefixes together; 0 if unknown.
    uint64_t kvTokens { 0 };
    bool stopsRuns { false }; // An engine can stop a run on request, and state whether it has one.
};

struct Service {
    std::string name;
    std::optional<EngineTraits> engine;
    std::optional<Duties::ScalingTerms> scaling; // Set if the fleet scales the engines of the service.
    std::string healthPath; // Where upstreams answer health checks; empty if they do not.
    // Requests per second that a cold upstream accepts from all routers together; nullopt if it does not limit them.
    std::optional<double> coldRequestsPerSecond;
};

struct Workspace {
    std::string name;
    std::optional<unsigned> priority; // Combined with the route's priority; see UrgencyScale.
    AllowedRegions allowedRegions; // Of the upstreams that may serve the workspace.
};

// Limits on the size of a caller's requests and on the time to send them.
struct CallerLimits {
    // Defaults for a configuration that states none.
    static constexpr Common::Milliseconds defaultReceiveTimeout { 3000 };
    static constexpr Common::Milliseconds defaultIdleTimeout { 15'000 };

    size_t headerBytes { 16 * 1024 };
    size_t bodyBytes { 4 * 1024 * 1024 };
    // For receiving a whole request after its first byte.
    Common::Milliseconds receiveTimeout { defaultReceiveTimeout };
    Common::Milliseconds idleTimeout { defaultIdleTimeout }; // Between two requests on one connection.
};

// One version of the operators' configuration, indexed by host and path and by key. Immutable and therefore
// thread-safe.
class RouteTable {
public:
    class Builder;

    uint64_t version() const { return m_version; }
    const CallerLimits& limits() const { return m_limits; }
    size_t routeCount() const { return m_routeCount; }
    // Whether requests require a key, except on anonymous routes.
    bool requiresKeys() const { return !m_workspaces.empty(); }

    // Returns the host's route with the longest prefix of the path, or null if none matches.
    const Route* find(std::string_view host, std::string_view path) const;
    const Service* service(std::string_view name) const;
    void forEachRoute(const std::function<void(const Route&)>&) const;
    const std::map<std::string, Service, std::less<>>& services() const { return m_services; }
    // Returns the shortest pause bound among the streams that lead to the service, or zero if none of them states one.
    Common::Milliseconds shortestMaxPause(std::string_view service) const;
    // Returns the ranking of generations by the priorities in this version.
    const UrgencyScale& urgency() const { return m_urgency; }
    // Returns the workspace that the key belongs to, or null if there is none.
    const Workspace* workspaceOfKey(std::string_view key) const;

private:
    // The routes of one host, longest prefix first.
    using HostRoutes = std::vector<Route>;

    uint64_t m_version { 0 };
    UrgencyScale m_urgency;
    CallerLimits m_limits;
    size_t m_routeCount { 0 };
    std::map<std::string, HostRoutes, std::less<>> m_hosts;
    std::map<std::string, Service, std::less<>> m_services;
    std::map<std::string, Common::Milliseconds, std::less<>> m_shortestMaxPauses; // By service.
    std::vector<Workspace> m_workspaces;
    std::unordered_map<std::string, size_t> m_keys; // Index into `m_workspaces`.
};

class RouteTable::Builder {
public:
    Builder& version(uint64_t);
    Builder& limits(const CallerLimits&);
    Builder& route(Route);
    Builder& service(Service);
    Builder& workspace(Workspace, std::vector<std::string> keys);
    RouteTable build();

private:
    void buildUrgency();
    void buildPauseBounds();

    RouteTable m_table;
};

} // namespace Brassladder::RouteServing::Routing
