// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

// Who may send the requests that a limited upstream takes from all routers together. Pure.
//
// One hub assigns the limit of an upstream, chosen by rendezvous hashing among the hubs that hear each other. It gives
// out single requests to the hubs that ask for some, and each hub passes its own on to the routers that ask it. So the
// number of routers does not matter: equal shares with a bucket of one request each would let 300 routers send 300 at
// once, whatever the limit.
namespace Brassladder::RouteServing::Routing {

// What may be given out of one limit: a token bucket. Time in which the assigner did not run saves up nothing.
class QuotaBucket {
public:
    // `share`: of the limit, in [0, 1].
    void refill(double requestsPerSecond, double share, Common::TimePoint now);
    unsigned available() const { return static_cast<unsigned>(m_tokens); }
    void spend(unsigned requests) { m_tokens -= requests; }

private:
    std::optional<Common::TimePoint> m_last;
    double m_tokens { 0 };
};

// Requests to one upstream that wait for somebody who may send them, for a short time.
class QuotaPool {
public:
    void add(unsigned requests, Common::TimePoint now);
    unsigned size(Common::TimePoint now);
    void take(unsigned requests);

private:
    std::deque<Common::TimePoint> m_expires;
};

// Divides the requests to one upstream among those that ask for them. Counts of one pair of processes only rise: what
// one side has given out and the other side received, so that a message may be lost or come twice.
class QuotaAssigner {
public:
    struct Demand {
        uint64_t incarnation { 0 }; // Of the process that asks.
        unsigned wanted { 0 };
        uint64_t received { 0 }; // Of all that it was ever given here.
    };
    void record(const std::string& requester, const Demand&, Common::TimePoint now);
    // What those that asked lately still lack.
    unsigned wanted(Common::TimePoint now) const;
    // Gives out up to so many requests, each to the one that lacks the most, and among equals to the one that has
    // waited longest; how many were given out.
    unsigned assign(unsigned requests, Common::TimePoint now);
    // All that the process was ever given.
    uint64_t granted(std::string_view requester, uint64_t incarnation) const;
    void evictExpired(Common::TimePoint now);
    bool isEmpty() const { return m_requesters.empty(); }

private:
    struct Requester {
        Demand demand;
        uint64_t granted { 0 };
        Common::TimePoint lastDemandAt {};
        uint64_t lastTurn { 0 };
    };
    static unsigned unmetDemand(const Requester&, Common::TimePoint now);

    std::map<std::string, Requester, std::less<>> m_requesters;
    uint64_t m_turn { 0 };
};

// Whether this router assigns the limit of one upstream now. One that takes over waits until what the one before it
// gave out can no longer be sent, so that two of them never add up.
class QuotaOwnership {
public:
    // Since when what decides on the owner stands.
    struct StableSince {
        Common::TimePoint hubs {}; // The set of hubs that this router hears.
        Common::TimePoint running {}; // This router runs as a hub without a pause.
    };
    // `owner`: who assigns the limit as far as this router knows. Whether this router may give out requests.
    bool update(std::string_view owner, std::string_view self, const StableSince&, Common::TimePoint now);

private:
    std::string m_owner;
    Common::TimePoint m_since {};
};

// The latest time after it was given out at which a request may still reach its upstream: in the pools of two hubs, on
// the way between three routers, and in the quota of the last one.
inline constexpr Common::Milliseconds quotaLifetime { 1700 };
// For how long a router may use what it was allowed.
inline constexpr Common::Milliseconds quotaValidity { 700 };

} // namespace Brassladder::RouteServing::Routing
