// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

// Distributes among the routers the requests that a limited upstream accepts from all of them together. Does no I/O and
// reads no clock.
//
// One hub assigns the limit of an upstream. It is chosen by rendezvous hashing among the hubs that are connected to
// each other. It grants single requests to the hubs that have demand, and each hub passes its grants on to its routers.
// Because there is one token bucket per limit and not one per router, bursts do not grow with the number of routers.
namespace Brassladder::RouteServing::Routing {

// Token bucket of one limit. After a pause, it is refilled for a bounded time only.
class QuotaBucket {
public:
    // `share`: share of the limit to add, in [0, 1].
    void refill(double requestsPerSecond, double share, Common::TimePoint now);
    unsigned available() const { return static_cast<unsigned>(m_tokens); }
    void spend(unsigned requests) { m_tokens -= requests; }

private:
    std::optional<Common::TimePoint> m_last;
    double m_tokens { 0 };
};

// Granted requests to one upstream that are not yet assigned to a requester. They expire after a short time.
class QuotaPool {
public:
    void add(unsigned requests, Common::TimePoint now);
    unsigned size(Common::TimePoint now);
    void take(unsigned requests);

private:
    std::deque<Common::TimePoint> m_expires;
};

// Divides the requests to one upstream among the requesters: hubs, or the routers of a hub. Granted and received
// requests are exchanged as cumulative counts per pair of processes, so messages may be lost or repeated.
class QuotaAssigner {
public:
    struct Demand {
        uint64_t incarnation { 0 }; // Of the requester's process.
        unsigned wanted { 0 };
        uint64_t received { 0 }; // Total that it has received from this assigner.
    };
    void record(const std::string& requester, const Demand&, Common::TimePoint now);
    // Returns the total unmet demand of the recent requesters.
    unsigned wanted(Common::TimePoint now) const;
    // Grants up to `requests` requests, each to the requester with the largest unmet demand. Ties go to the requester
    // whose last grant is the oldest. Returns the number of granted requests.
    unsigned assign(unsigned requests, Common::TimePoint now);
    // Returns the total that was granted to the process.
    uint64_t granted(std::string_view requester, uint64_t incarnation) const;
    void evictExpired(Common::TimePoint now);
    bool isEmpty() const { return m_requesters.empty(); }

private:
    struct Requester {
        Demand demand;
        uint64_t granted { 0 };
        Common::TimePoint lastDemandAt {};
        uint64_t lastGrantNumber { 0 };
    };
    static unsigned unmetDemand(const Requester&, Common::TimePoint now);

    std::map<std::string, Requester, std::less<>> m_requesters;
    uint64_t m_lastGrantNumber { 0 };
};

// Determines whether this router currently assigns the limit of one upstream. A new owner waits until the grants of the
// previous owner have expired, so that grants of both are never valid at the same time.
class QuotaOwnership {
public:
    // Start times of the current state of the inputs.
    struct StableSince {
        Common::TimePoint hubs {}; // Last change of the set of hubs that this router is connected to.
        Common::TimePoint running {}; // Since then, this router has run as a hub without a pause.
    };
    // `owner`: the assigner of the limit according to this router. Returns whether this router may grant requests.
    bool update(std::string_view owner, std::string_view self, const StableSince&, Common::TimePoint now);

private:
    std::string m_owner;
    Common::TimePoint m_since {};
};

// Maximum time from a grant until the request reaches its upstream: the validity in the pools of two hubs
// (`poolValidity`) and in the quota of the sending router (`quotaValidity`), and the messages between the three.
inline constexpr Common::Milliseconds quotaLifetime { 1700 };
// How long a router may use a received grant.
inline constexpr Common::Milliseconds quotaValidity { 700 };

} // namespace Brassladder::RouteServing::Routing
