// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Duties/CapacityPlan.h"
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

// What kind of responses a route has, and whether its requests may run more than once.
enum class RouteKind : uint8_t {
    Repeatable, // Idempotent: may run any number of times.
    OnceOnly, // Runs at most once for each attempt of its caller.
    Stream, // An event stream. Runs at most once unless the route is resumable.
};

// One service that a route leads to. Weights are relative to their sum.
struct ServiceShare {
    std::string service;
    uint32_t weight { 1 };
};

struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix; // Begins and ends with a slash.
    RouteKind kind { RouteKind::OnceOnly };
    Common::Milliseconds timeout { 0 }; // The longest time that a request is held.
    Common::Milliseconds objective { 0 }; // Wanted time until the response, or a stream's first event.
    unsigned priority { 0 }; // 0 is the most urgent.
    unsigned maxAttempts { 1 }; // Upstreams that one request may be sent to.
    bool anonymous { false }; // Needs no key.
    bool resumable { false }; // A stream may be resumed after its last event at another upstream.
    std::vector<ServiceShare> shares;

    // Whether a request that may have run may be sent again.
    bool mayRepeat() const { return kind == RouteKind::Repeatable || (kind == RouteKind::Stream && resumable); }
};

// A service whose upstreams are model engines that work in batches.
struct EngineTraits {
    unsigned batch { 0 }; // Requests at once.
    bool replicatesKvCache { false }; // An engine can replicate a run's KV cache to another engine as it grows.
    bool fetchesKvCache { false }; // An engine can fetch the cached prefix of a prompt from another engine.
};

struct Service {
    std::string name;
    std::optional<EngineTraits> engine;
    std::optional<Duties::ScalingTerms> scaling; // The fleet orders its engines.
};

struct Workspace {
    std::string name;
    std::optional<unsigned> priority; // Goes before that of the route.
};

// Bounds on what a caller may send, and on how slowly.
struct CallerLimits {
    // For a configuration that states none. Chosen, not measured.
    static constexpr Common::Milliseconds defaultHeaderTimeout { 3000 };
    static constexpr Common::Milliseconds defaultIdleTimeout { 15'000 };

    size_t headerBytes { 16 * 1024 };
    size_t bodyBytes { 4 * 1024 * 1024 };
    Common::Milliseconds headerTimeout { defaultHeaderTimeout }; // For a request to arrive.
    Common::Milliseconds idleTimeout { defaultIdleTimeout }; // Between two requests on one connection.
};

// One version of the operators' configuration, immutable, indexed for look-ups by host and path and by key. Safe to use
// from several threads.
class RouteTable {
public:
    class Builder;

    uint64_t version() const { return m_version; }
    const CallerLimits& limits() const { return m_limits; }
    size_t routeCount() const { return m_routeCount; }
    // Whether requests have to show a key, except on anonymous routes.
    bool requiresKeys() const { return !m_workspaces.empty(); }

    // The route of that host with the longest prefix that begins the path; null when there is none.
    const Route* find(std::string_view host, std::string_view path) const;
    const Service* service(std::string_view name) const;
    void forEachRoute(const std::function<void(const Route&)>&) const;
    const std::map<std::string, Service, std::less<>>& services() const { return m_services; }
    // Of the generations that this version allows.
    const UrgencyScale& urgency() const { return m_urgency; }
    // The workspace that the key belongs to; null when none.
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

    RouteTable m_table;
};

} // namespace Brassladder::RouteServing::Routing
