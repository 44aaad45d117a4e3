// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/HedgeSchedule.h"
#include "RouteServing/Routing/BoundBudgets.h"
#include "RouteServing/Routing/OutstandingRequests.h"
#include "RouteServing/Routing/RefreshIntervals.h"

#include <functional>
#include <map>
#include <optional>
#include <set>

// Plays the path of a leaving from the store to the routers in virtual time, with the rules that the routers follow
// (RefreshIntervals, HedgeSchedule, OutstandingRequests). Each step takes its longest time.
namespace Brassladder::RouteServing::Routing {

// Runs actions in the order of their times. An action may add others.
class VirtualTime {
public:
    Common::TimePoint now() const { return m_now; }
    void after(Common::Milliseconds, std::function<void()>);
    void runUntil(Common::TimePoint);

private:
    Common::TimePoint m_now { std::chrono::hours(1) };
    std::multimap<Common::TimePoint, std::function<void()>> m_actions;
};

// What a router knows of the upstreams.
struct KnownList {
    Common::TimePoint confirmedAt {};
    bool isLeaving { false }; // Whether the list states that the upstream is leaving.
};

// The platform's store, and the time at which it acknowledges that the upstream is leaving.
struct VirtualStore {
    Common::TimePoint leavesAt;
    Common::Milliseconds responseTime { 0 };
    // Attempts that get no response, counted for each reader from 0.
    std::set<unsigned> lostAttempts {};
};

// Reads the list from the store as PlatformWatcher and KeyedTopic do.
class VirtualReader {
public:
    VirtualReader(VirtualTime&, const VirtualStore&, const RefreshIntervals&);

    void setOnChange(std::function<void()> hook) { m_onChange = std::move(hook); }
    // Reads at the interval of a store reader, beginning now.
    void readRegularly();
    // Reads once, and again after a failure.
    void readOnce();
    bool isReading() const { return m_read != nullptr; }
    const KnownList& list() const { return m_list; }

private:
    struct Read {
        Common::TimePoint started;
        unsigned attempts { 0 };
        unsigned failed { 0 };
        bool hasEnded { false };
    };
    void startAttempt(const std::shared_ptr<Read>&);
    void fail(const std::shared_ptr<Read>&);
    void complete(const std::shared_ptr<Read>&, unsigned attempt, bool isLeaving);
    bool mayAttempt(const Read& read) const { return m_hedges.untilNextAttempt(read.attempts).has_value(); }

    VirtualTime& m_time;
    const VirtualStore& m_store;
    RefreshIntervals m_intervals;
    Common::HedgeSchedule m_hedges;
    KnownList m_list;
    std::shared_ptr<Read> m_read; // In progress.
    std::function<void()> m_onChange { [] {} };
    unsigned m_attempts { 0 }; // Of all reads.
    unsigned m_failures { 0 }; // Consecutive.
    bool m_isRegular { false };
};

// A router that requests the list from hubs, and reads the store itself if its list is stale.
class VirtualSubscriber {
public:
    struct Hub {
        const VirtualReader* reader { nullptr };
        std::optional<Common::TimePoint> stopsAt {}; // Sends nothing from then on.
    };
    VirtualSubscriber(
        VirtualTime&, VirtualReader& own, const RefreshIntervals&, Common::Milliseconds exchangeTime, std::vector<Hub>);

    void start();
    // A hub calls it when its list has changed.
    void onNotification(size_t hub);
    KnownList list() const;

private:
    bool isRunning(size_t hub) const;
    void step();
    void request();
    void checkAge();

    VirtualTime& m_time;
    VirtualReader& m_own;
    RefreshIntervals m_intervals;
    Common::Milliseconds m_exchangeTime;
    std::vector<Hub> m_hubs;
    size_t m_hub { 0 };
    OutstandingRequests m_outstanding;
    KnownList m_received;
};

} // namespace Brassladder::RouteServing::Routing
