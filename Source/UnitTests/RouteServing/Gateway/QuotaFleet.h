// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/QuotaExchange.h"
#include "RouteServing/Routing/HubRanking.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// A fleet of routers before one upstream that names a limit, on virtual time: the product's quotas and their exchange,
// with messages that take a while and routers that freeze, end, or are cut off from the others.
class QuotaFleet {
public:
    struct Options {
        size_t routers { 7 };
        double requestsPerSecond { 4 }; // That could go to the upstream, of each router.
        unsigned seed { 1 };
        std::vector<double> demands; // By router, in place of `requestsPerSecond`.
        // In place of the product's way, for comparisons: may this router send now?
        std::function<bool(size_t router, Common::TimePoint now)> admissionOverride;
    };

    explicit QuotaFleet(Options);

    // What the upstream names from now on; none: no limit.
    void setLimit(std::optional<double> requestsPerSecond) { m_limit = requestsPerSecond; }
    void runFor(Common::Milliseconds);
    Common::TimePoint now() const { return m_now; }

    // From now on, of each router; in requests a second.
    void setDemand(double requestsPerSecond);
    // A request comes to the router.
    void request(size_t router);

    // A frozen router does nothing, and then what has come meanwhile.
    void freeze(size_t router, Common::Milliseconds);
    // It ends at once, and another one with its id starts.
    void restart(size_t router);
    // Messages between the two groups are lost.
    void partition(std::span<const size_t> routers, Common::Milliseconds);

    struct Arrival {
        Common::TimePoint at;
        size_t router { 0 };
        bool limitWasKnown { false }; // Half a second before, the router had passed on an answer that names a limit.
        bool hadRecentFault { false }; // The router was restarted, frozen or cut off lately.
    };
    const std::vector<Arrival>& arrivals() const { return m_arrivals; }
    // The most arrivals in 4 s, of those from `from` on: that the users' rule counts, or all.
    enum class Counted : uint8_t { ByRule, All };
    size_t maxArrivalsInWindow(Common::TimePoint from, Counted counted = Counted::ByRule) const;
    size_t limitedRouters() const;
    // The values that routers take the limit for.
    std::set<double> knownLimits() const;
    size_t requests() const { return m_requests; }
    uint64_t bytes() const { return m_bytes; } // Of all quota tables.

private:
    struct Router {
        std::string id;
        uint64_t incarnation { 0 };
        std::unique_ptr<Routing::SendQuotas> quotas;
        std::unique_ptr<QuotaExchange> exchange;
        Common::TimePoint frozenUntil {};
        Common::TimePoint partitionedUntil {};
        Common::TimePoint lastFault {};
        std::optional<Common::TimePoint> limitReceivedAt;
    };
    using Event = std::function<void()>;

    void schedule(Common::TimePoint when, Event event) { m_events.emplace(when, std::move(event)); }
    // Does it now, or when the router is awake again; not at all when its process has ended meanwhile.
    void scheduleAtRouter(size_t router, Common::TimePoint when, Event);
    double uniformRandom() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    Common::Duration latency() { return std::chrono::microseconds(300 + m_random() % 3000); }
    void start(size_t router);
    void step(size_t router);
    void generateRequests(size_t router);
    void scheduleResponse(size_t router, Common::TimePoint sent);
    bool isConnected(size_t a, size_t b) const;
    bool isAlive(size_t router, size_t seenBy) const;
    Routing::HubRanking rankingOf(size_t router) const;
    double reachableShare(size_t router) const;
    size_t indexOf(const std::string& id) const;

    Options m_options;
    std::mt19937 m_random;
    Common::TimePoint m_now { std::chrono::hours(1) };
    std::multimap<Common::TimePoint, Event> m_events;
    std::vector<Router> m_routers;
    std::optional<double> m_limit;
    std::vector<Arrival> m_arrivals;
    size_t m_requests { 0 };
    uint64_t m_bytes { 0 };
    uint64_t m_incarnations { 0 };
};

} // namespace Brassladder::RouteServing::Gateway
