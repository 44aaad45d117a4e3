// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Gateway/SlotExchange.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// Simulates, in virtual time, a fleet of routers before the fragile upstreams of one service. Each upstream fails for a
// while if it has to reject too many requests within a second. Routers may be killed, frozen or cut off from each
// other. The product's SlotExchange is one of the strategies that are compared.
class SlotFleet {
public:
    enum class Strategy : uint8_t {
        Independent, // Each router places its requests by the loads that routers report.
        SharedBackoff, // The same, and all routers avoid an upstream for a while after a rejection was reported.
        Rates, // One router grants requests at a rate that falls with rejections.
        Reservations, // SlotExchange.
    };
    struct Options {
        Strategy strategy { Strategy::Reservations };
        size_t routers { 7 };
        size_t upstreams { 3 };
        unsigned slots { 6 };
        unsigned waitingPlaces { 2 }; // Requests that an upstream lets wait.
        unsigned toleratedRejections { 3 }; // Per second.
        double serviceMs { 15 }; // Average.
        double load { 0.5 }; // Demand as a share of all slots.
        Common::Milliseconds objective { 120 };
        Common::Milliseconds deadline { 600 };
        unsigned seed { 1 };
    };
    struct Result {
        size_t requests { 0 };
        size_t served { 0 };
        size_t inTime { 0 }; // Served within the objective.
        size_t rejected { 0 }; // By upstreams.
        size_t failures { 0 }; // Of upstreams.
        size_t mostUnderWay { 0 }; // At one upstream at once.
        size_t messages { 0 }; // Between routers, about reservations.
    };

    explicit SlotFleet(Options);
    ~SlotFleet();

    void runFor(Common::Milliseconds);
    // Starts a new count; earlier requests are not counted.
    void resetResult();
    const Result& result() const { return m_result; }
    // Sets the demand as a share of all slots.
    void setLoad(double load) { m_options.load = load; }

    // Ends the router's process, and starts another one after the time given.
    void kill(size_t router, Common::Milliseconds down);
    // Suspends the router. It handles its events afterwards.
    void freeze(size_t router, Common::Milliseconds);
    // Drops all messages between these routers and the others.
    void cut(std::span<const size_t> routers, Common::Milliseconds);
    // Returns the router that coordinates the upstream while all routers are connected.
    size_t coordinatorOf(size_t upstream) const;

private:
    using Event = std::function<void()>;
    struct Request {
        size_t router { 0 };
        uint64_t incarnation { 0 }; // Of the router.
        Common::TimePoint arrived;
        std::set<size_t> attempted; // Upstreams.
        size_t sends { 0 };
        size_t upstream { 0 }; // Of the current attempt.
        std::shared_ptr<SlotReservation> reservation;
        bool isCounted { true };
    };
    using RequestPtr = std::shared_ptr<Request>;
    struct Upstream {
        std::vector<RequestPtr> running;
        std::deque<RequestPtr> waiting;
        std::deque<Common::TimePoint> rejections; // Within the last second.
        Common::TimePoint failedUntil {};
        uint64_t incarnation { 0 };
        Common::TimePoint avoidedUntil {}; // SharedBackoff.
        double rate { 0 }; // Rates: requests per second.
        double tokens { 0 };
        Common::TimePoint rateLoweredAt {};
    };
    struct Router {
        std::string id;
        uint64_t incarnation { 0 };
        std::unique_ptr<SlotExchange> exchange;
        Common::TimePoint downUntil {};
        Common::TimePoint frozenUntil {};
        Common::TimePoint cutUntil {};
        std::vector<unsigned> sent; // Outstanding requests by upstream.
        std::vector<unsigned> placed; // The same, and those that wait for a slot.
        std::vector<Common::TimePoint> avoidedUntil; // After a rejection or a failed connection, by upstream.
        std::vector<std::deque<Common::TimePoint>> grants; // Rates: expiries by upstream.
        Common::TimePoint lastDemand {};
    };

    void schedule(Common::TimePoint when, Event event) { m_events.emplace(when, std::move(event)); }
    // Runs the event at `when`, or once the router is no longer frozen. Drops it if the process has ended.
    void scheduleAtRouter(size_t router, Common::TimePoint when, Event);
    double uniformRandom() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    Common::Duration latency() { return std::chrono::microseconds(300 + m_random() % 1500); }
    bool isUp(const Router& router) const { return router.downUntil <= m_now; }
    bool areConnected(size_t a, size_t b) const;
    void startRouter(size_t);
    void scheduleArrival();
    void step(); // Exchange of loads between routers.
    void exchangeContacts();
    void place(const RequestPtr&);
    std::optional<size_t> chooseUpstream(const Request&);
    void reserve(const RequestPtr&, uint64_t sequence);
    void send(const RequestPtr&);
    void arrive(const RequestPtr&);
    void startService(size_t upstream, const RequestPtr&);
    void finishService(size_t upstream, const RequestPtr&);
    void reject(size_t upstream, const RequestPtr&);
    void fail(size_t upstream);
    // Ends the attempt at the router. `outcome`: what the router sees.
    enum class End : uint8_t { Served, Rejected, Broken, Denied };
    void endAttempt(const RequestPtr&, End);
    bool mayWaitForGrant(const Request&) const;
    // What a router knows of the others.
    unsigned reportedLoad(size_t router, size_t upstream) const;
    double reachableShare(size_t router) const;
    void stepRates();

    Options m_options;
    std::mt19937 m_random;
    Common::TimePoint m_now { std::chrono::hours(1) };
    std::multimap<Common::TimePoint, Event> m_events;
    std::vector<Router> m_routers;
    std::set<size_t> m_hubs; // The candidates for coordinators.
    std::vector<Upstream> m_upstreams;
    std::deque<std::vector<std::vector<unsigned>>> m_sentHistory; // Reports of all routers, the newest last.
    std::deque<std::vector<std::vector<unsigned>>> m_placedHistory;
    Common::TimePoint m_fragileSince;
    Common::TimePoint m_countedFrom {};
    Result m_result;
    uint64_t m_incarnations { 0 };
};

} // namespace Brassladder::RouteServing::Gateway
