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

// Simulates, in virtual time, a fleet of routers that send to one upstream with a limit. Uses the product's SendQuotas
// and QuotaExchange. Messages have latency, and routers may freeze, restart or be partitioned.
class QuotaFleet {
public:
    struct Options {
        size_t routers { 7 };
        double requestsPerSecond { 4 }; // Demand of each router.
        unsigned seed { 1 };
        std::vector<double> demands; // By router, instead of `requestsPerSecond`.
        // If set, decides instead of SendQuotas whether a router with a limit may send now. Used for comparisons.
        std::function<bool(size_t router, Common::TimePoint now)> admissionOverride;
    };

    explicit QuotaFleet(Options);

    // Sets the limit that the upstream states from now on. nullopt means no limit.
    void setLimit(std::optional<double> requestsPerSecond) { m_limit = requestsPerSecond; }
    void runFor(Common::Milliseconds);
    Common::TimePoint now() const { return m_now; }

    // Lists the upstream as cold from now on, for the given time. Each router receives the list within `maxDelay`, also
    // after a restart, and sends nothing before.
    void startColdPeriod(double requestsPerSecond, Common::Milliseconds length, Common::Milliseconds maxDelay);

    // Sets the demand of each router from now on, in requests per second.
    void setDemand(double requestsPerSecond);
    // Simulates the arrival of a request at the router.
    void request(size_t router);

    // Suspends the router. It processes its pending events afterwards.
    void freeze(size_t router, Common::Milliseconds);
    // Ends the router's process and starts another one with the same id.
    void restart(size_t router);
    // Drops all messages between these routers and the others for the given time.
    void partition(std::span<const size_t> routers, Common::Milliseconds);

    struct Arrival {
        Common::TimePoint at;
        size_t router { 0 };
        bool limitWasKnown { false }; // The router received the limit at least 500 ms earlier.
        bool hadRecentFault { false }; // Within 3 s after a restart, freeze or partition, or during one.
    };
    const std::vector<Arrival>& arrivals() const { return m_arrivals; }
    // Which arrivals are counted. Undisturbed: only those with `limitWasKnown` and without `hadRecentFault`.
    enum class ArrivalFilter : uint8_t { Undisturbed, All };
    // Returns the largest number of arrivals within any `window` since `from`.
    size_t maxArrivalsInWindow(Common::TimePoint from, ArrivalFilter filter = ArrivalFilter::Undisturbed,
        Common::Milliseconds window = Common::Milliseconds(4000)) const;
    size_t limitedRouters() const;
    // Returns the distinct values of the limit that routers have.
    std::set<double> knownLimits() const;
    size_t requests() const { return m_requests; }
    uint64_t bytes() const { return m_bytes; } // Total size of all quota tables.

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
        bool hasList { true };
    };
    struct ColdPeriod {
        double requestsPerSecond { 0 };
        Common::TimePoint until {};
        Common::Milliseconds maxDelay { 0 };
    };
    using Event = std::function<void()>;

    void schedule(Common::TimePoint when, Event event) { m_events.emplace(when, std::move(event)); }
    // Runs the event at `when`, or as soon as the router is no longer frozen. Drops the event if the router was
    // restarted in the meantime.
    void scheduleAtRouter(size_t router, Common::TimePoint when, Event);
    double uniformRandom() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    Common::Duration latency() { return std::chrono::microseconds(300 + m_random() % 3000); }
    void start(size_t router);
    void scheduleList(size_t router);
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
    std::optional<ColdPeriod> m_coldPeriod;
    std::vector<Arrival> m_arrivals;
    size_t m_requests { 0 };
    uint64_t m_bytes { 0 };
    uint64_t m_incarnations { 0 };
};

} // namespace Brassladder::RouteServing::Gateway
