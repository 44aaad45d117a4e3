// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/PaceExchange.h"
#include "RouteServing/Routing/HubRanking.h"
#include "RouteServing/Routing/PauseSampler.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// Simulates, in virtual time, a fleet of routers that relay generations of engines of different speed. Uses the
// product's PauseSampler, EnginePaces and PaceExchange. Messages have latency.
class PaceFleet {
public:
    struct Options {
        size_t routers { 85 };
        size_t engines { 24 };
        double requestsPerSecond { 1 }; // Of each router.
        unsigned seed { 1 };
        Common::Milliseconds exchangeInterval { 100 };
    };

    // The engines form three groups, which take 1, 1.55 and 2.4 times as long for the same work.
    explicit PaceFleet(Options);

    void runFor(Common::Milliseconds);
    // Sets how long the engine takes for its work from now on, as a multiple of the fastest group's time.
    void setTimeFactor(size_t engine, double factor) { m_timeFactors[engine] = factor; }
    // Starts another process of the engine. Its running generations end.
    void restartEngine(size_t engine);
    // Ends the router's process. The others notice after 600 ms.
    void stopRouter(size_t router);
    // Makes the router an earlier version, which neither sends nor reads paces.
    void makeEarlierVersion(size_t router) { m_routers[router].isEarlierVersion = true; }
    // Replaces the router's process, which then knows nothing.
    void restartRouter(size_t router) { startRouter(router); }

    // Returns the router's estimate, and its ratio to the true value.
    double slowdown(size_t router, size_t engine) const;
    double accuracy(size_t router, size_t engine) const;
    // Returns the greatest relative error of all running routers for all engines, and the least estimate of all routers
    // for an engine.
    double worstError() const;
    double leastEstimate(size_t engine) const;
    // Returns the share of the estimates, of all running routers for all engines, with at most this relative error.
    double shareWithin(double error) const;
    double trueSlowdown(size_t engine) const;
    bool isHub(size_t router) const { return rankingOf(router).isHub(); }
    size_t firstHub() const;
    // Greatest number of bytes that a router sent and received in tables.
    struct Traffic {
        size_t greatestOfSubscribers { 0 };
        size_t greatestOfHubs { 0 };
    };
    Traffic traffic() const;
    PaceExchange::Sent sent(size_t router) const { return m_routers[router].exchange->sent(); }
    size_t received(size_t router) const { return m_routers[router].receivedBytes; }

private:
    struct Router {
        std::string id;
        std::unique_ptr<Routing::EnginePaces> paces;
        std::unique_ptr<PaceExchange> exchange;
        std::optional<Common::TimePoint> stoppedAt;
        bool isEarlierVersion { false };
        size_t receivedBytes { 0 };
    };
    struct Stream {
        size_t router { 0 };
        size_t engine { 0 };
        uint64_t born { 0 };
        size_t eventsLeft { 0 };
        Routing::PauseSampler pauses;
    };
    using Event = std::function<void()>;

    void schedule(Common::Duration delay, Event event) { m_events.emplace(m_now + delay, std::move(event)); }
    double uniformRandom() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    Common::Duration latency() { return std::chrono::microseconds(300 + m_random() % 3000); }
    Routing::UpstreamRecord record(size_t engine) const;
    uint32_t hashOf(size_t engine) const { return Routing::shortHash("e" + std::to_string(engine)); }
    void startRouter(size_t router);
    void step(size_t router);
    void generateRequests(size_t router);
    void continueStream(const std::shared_ptr<Stream>&);
    Common::Duration pauseOf(size_t engine);
    bool isRunning(size_t router) const { return !m_routers[router].stoppedAt; }
    Routing::HubRanking rankingOf(size_t router) const;
    size_t indexOf(const std::string& id) const;

    Options m_options;
    std::mt19937 m_random;
    Common::TimePoint m_now { std::chrono::hours(1) };
    std::multimap<Common::TimePoint, Event> m_events;
    std::vector<Router> m_routers;
    std::vector<double> m_timeFactors; // By engine.
    std::vector<uint64_t> m_born; // By engine.
    mutable std::map<size_t, Routing::HubRanking> m_rankings; // By router; cleared when a router stops.
};

} // namespace Brassladder::RouteServing::Gateway
