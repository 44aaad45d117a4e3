// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/StatedRate.h"
#include "RouteServing/Routing/Upstream.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// Which upstreams are fragile: an upstream states in each response how many requests per second it can reject for lack
// of room; if it has to reject more, it fails. The statement concerns all routers together, so they exchange it. An
// upstream that has made no statement yet is taken for fragile while others of its service are, since all of them
// change together, and a new one would receive the requests of all routers at once. Thread-safe.
class FragileUpstreams {
public:
    // Records what a response stated. `requestSent`: when its request was sent.
    StatementChange recordStatement(
        const UpstreamRecord&, const RateStatement&, Common::TimePoint requestSent, Common::TimePoint now);
    // Merges the state of another router. `serviceOf` returns the service of the upstream, or an empty text if it is
    // not listed.
    void merge(uint32_t key, const StatedRate&, const std::function<std::string(uint32_t key)>& serviceOf,
        Common::TimePoint now);

    // Returns whether any upstream may be fragile. If not, the functions below need not be called.
    bool isActive() const { return m_isActive.load(std::memory_order_relaxed); }
    bool isFragile(const UpstreamRecord&, Common::TimePoint now) const;

    // Returns since when this router has known that the upstream is fragile, or nullopt if it has not stated so.
    std::optional<Common::TimePoint> knownSince(uint32_t key) const;

    struct KnownStatement {
        uint32_t key { 0 }; // statementKey().
        StatedRate rate;
    };
    // Returns the statements to exchange, including those that are no longer in force.
    std::vector<KnownStatement> known() const;
    size_t countInForce() const;
    // Removes what has not been stated for a long time.
    void evictExpired(Common::TimePoint now);

private:
    struct Entry {
        StatedRate rate;
        std::string service; // Empty if it is unknown.
        Common::TimePoint knownSince {}; // When the rate came into force here.
    };
    StatementChange update(
        uint32_t key, const StatedRate& learned, const std::function<std::string()>& service, Common::TimePoint now);

    std::atomic<bool> m_isActive { false };
    mutable std::mutex m_mutex;
    std::map<uint32_t, Entry> m_entries; // By statementKey.
    std::map<std::string, Common::TimePoint, std::less<>> m_services; // Newest statement of an upstream of the service.
};

} // namespace Brassladder::RouteServing::Routing
