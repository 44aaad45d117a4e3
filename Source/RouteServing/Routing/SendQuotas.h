// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/UpstreamLimit.h"

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

// This router's side of limits that upstreams have named for all routers together: which limits are in force, and how
// many requests this router may send to each such upstream now.
//
// A limit is about the whole fleet, so a router sends there only what it was allowed: a quota of single requests that
// QuotaAssigner gives out, each valid for a short time. Without one it sends nothing, whatever the reason: it has just
// heard of the limit, knows no other router yet, or is cut off. Safe to use from several threads.
class SendQuotas {
public:
    enum class LimitChange : uint8_t { None, Named, Changed, Ended };

    // What a response stated. `requestSent`: when the request was sent that it belongs to.
    LimitChange recordStatement(
        const UpstreamRecord&, const LimitStatement&, Common::TimePoint requestSent, Common::TimePoint now);
    // What another router knows.
    void merge(uint32_t key, const UpstreamLimit&);

    // Whether any limit may be in force: if not, the calls below need not be made.
    bool isActive() const { return m_isActive.load(std::memory_order_relaxed); }
    bool isLimited(uint32_t key) const;
    // The keys of limits in force, in order.
    std::vector<uint32_t> inForce() const;
    // Whether a request may be sent there now: the upstream has no limit, or a request is left of the quota that is not
    // kept for more urgent ones. `rank`: of the request, 0 is the most urgent.
    bool allowsRequest(uint32_t key, size_t rank, Common::TimePoint now) const;
    // The same, whatever is kept, and takes the request out of the quota.
    bool take(uint32_t key, size_t rank, Common::TimePoint now);
    // A request came that could go there.
    void recordDemand(uint32_t key, Common::TimePoint now);
    // A request could have gone there, and found no upstream at all.
    void recordUnplaced(uint32_t key, size_t rank, Common::TimePoint now);

    // How long it takes until as many requests as could not be sent within the last second may be sent to any of these
    // upstreams; none when none of them is limited.
    std::optional<Common::Milliseconds> expectedWait(std::span<const uint32_t> keys, Common::TimePoint now) const;

    struct KnownLimit {
        uint32_t key { 0 };
        UpstreamLimit limit;
        unsigned wanted { 0 }; // Requests that this router could send there soon, beyond its quota.
    };
    // All limits that are known, also those that are over, since others may not know that yet.
    std::vector<KnownLimit> knownLimits(Common::TimePoint now) const;
    // Forgets limits of which nobody has heard for long.
    void evictExpired(Common::TimePoint now);
    void add(uint32_t key, unsigned requests, Common::TimePoint expires);

    struct Summary {
        size_t limited { 0 }; // Upstreams with a limit in force.
        uint64_t allowed { 0 }; // Requests that this router was ever allowed.
        uint64_t used { 0 }; // Of these, sent.
    };
    Summary summary() const;

private:
    // Counts events of about the last second.
    class RecentCount {
    public:
        void add(Common::TimePoint now);
        unsigned value(Common::TimePoint now) const;

    private:
        int64_t m_slice { 0 };
        unsigned m_current { 0 };
        unsigned m_last { 0 };
    };
    struct Entry {
        UpstreamLimit limit;
        std::deque<Common::TimePoint> quota; // When each request of it expires, the first one first.
        RecentCount demand;
        RecentCount sent;
        std::map<size_t, RecentCount> unplaced; // By rank.
        std::map<size_t, unsigned> sentSinceLastOfRank; // By rank: requests of others since the last one of it.
    };

    static unsigned validRequests(const Entry&, Common::TimePoint now);
    static bool isReservedForMoreUrgent(const Entry&, size_t rank, Common::TimePoint now);
    LimitChange update(uint32_t key, const UpstreamLimit&);

    std::atomic<bool> m_isActive { false };
    mutable std::mutex m_mutex;
    std::map<uint32_t, Entry> m_entries; // By limitKey.
    uint64_t m_allowed { 0 };
    uint64_t m_used { 0 };
};

} // namespace Brassladder::RouteServing::Routing
