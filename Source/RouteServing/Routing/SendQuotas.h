// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/RecentCount.h"
#include "RouteServing/Routing/StatedRate.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// Stores the limits that apply to all routers together, and this router's quota of each: the number of requests that it
// may send to the upstream now. A limit is stated by the upstream in its responses, or follows from its entry in the
// platform's list while it is cold.
//
// A quota consists of single requests that were granted by QuotaAssigner, each valid for a short time. Without a quota
// the router sends no requests to a limited upstream, even if the limit is new, no other router is connected yet, or
// the connections are lost. Thread-safe.
class SendQuotas {
public:
    // Records what a response stated. `requestSent`: when its request was sent.
    StatementChange recordStatement(
        const UpstreamRecord&, const RateStatement&, Common::TimePoint requestSent, Common::TimePoint now);
    // Merges the state of another router.
    void merge(uint32_t key, const StatedRate&);
    // Limits the upstream to the rate until the time given. A later call replaces the period. Each router learns it
    // from the list of upstreams, so it is not exchanged.
    void setColdPeriod(uint32_t key, double requestsPerSecond, Common::TimePoint until);
    void endColdPeriod(uint32_t key);

    // Returns whether any limit may be in force. If not, the functions below need not be called.
    bool isActive() const { return m_isActive.load(std::memory_order_relaxed); }
    bool isLimited(uint32_t key, Common::TimePoint now) const;
    // Returns the keys of the limits in force, sorted.
    std::vector<uint32_t> inForce(Common::TimePoint now) const;
    // Returns whether a request may be sent to the upstream now: it has no limit, or the quota has a request left that
    // is not reserved for more urgent ones. `rank`: urgency of the request, 0 is the highest.
    bool allowsRequest(uint32_t key, size_t rank, Common::TimePoint now) const;
    // Consumes one request of the quota, ignoring reservations. Returns false if none is left. Always true without a
    // limit.
    bool take(uint32_t key, size_t rank, Common::TimePoint now);
    // Records a request for which the upstream is eligible, whether or not it is sent there.
    void recordDemand(uint32_t key, Common::TimePoint now);
    // Records that no upstream was available for a request for which this upstream is eligible.
    void recordUnplaced(uint32_t key, size_t rank, Common::TimePoint now);

    // Estimates the time until the quotas of these upstreams cover the recent requests that were not sent. Returns
    // nullopt if none of the upstreams has a limit in force.
    std::optional<Common::Milliseconds> expectedWait(std::span<const uint32_t> keys, Common::TimePoint now) const;

    struct KnownLimit {
        uint32_t key { 0 };
        StatedRate limit;
        unsigned wanted { 0 }; // Requests that this router expects to send soon, beyond its quota.
        std::optional<double> rate; // Requests per second that are allowed now; nullopt if no limit is in force.
    };
    // Returns all known limits, including those that have ended, because other routers may still consider them in
    // force.
    std::vector<KnownLimit> knownLimits(Common::TimePoint now) const;
    // Removes limits for which there was no new information for a long time.
    void evictExpired(Common::TimePoint now);
    void addGrant(uint32_t key, unsigned requests, Common::TimePoint expires);

    struct Summary {
        size_t limited { 0 }; // Number of upstreams with a limit in force.
        uint64_t granted { 0 }; // Total of requests granted to this router.
        uint64_t used { 0 }; // Requests sent out of these.
    };
    Summary summary(Common::TimePoint now) const;

private:
    struct Entry {
        StatedRate limit;
        double coldRate { 0 }; // Requests per second until `coldUntil`.
        Common::TimePoint coldUntil { Common::TimePoint::min() };
        std::deque<Common::TimePoint> quota; // Expiry of each granted request, the earliest first.
        RecentCount demand;
        RecentCount sent;
        std::map<size_t, RecentCount> unplaced; // By rank.
        std::map<size_t, unsigned> sentSinceLastOfRank; // Requests of other ranks sent since the last of this rank.
    };

    // Returns the lowest rate of the limits in force, or nullopt if there is none.
    static std::optional<double> allowedRate(const Entry&, Common::TimePoint now);
    static unsigned validRequests(const Entry&, Common::TimePoint now);
    static bool isReservedForMoreUrgent(const Entry&, size_t rank, Common::TimePoint now);
    StatementChange update(uint32_t key, const StatedRate&);

    std::atomic<bool> m_isActive { false };
    mutable std::mutex m_mutex;
    std::map<uint32_t, Entry> m_entries; // By statementKey.
    uint64_t m_granted { 0 };
    uint64_t m_used { 0 };
};

} // namespace Brassladder::RouteServing::Routing
