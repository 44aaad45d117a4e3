// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/Upstream.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace Brassladder::RouteServing::Routing {

// What one response states about the upstream that sent it.
struct UpstreamStatement {
    bool isLeaving { false }; // The upstream is shutting down and accepts no new requests.
    std::optional<Common::Milliseconds> cooldown; // It accepts no request from this router for this long (Retry-After).

    bool isEmpty() const { return !isLeaving && !cooldown; }
};

// Stores what upstreams stated about themselves in responses to this router: cooldowns, and that they are leaving.
// Statements are binding, unlike ejection and backoff, which are heuristics: neither a lack of other upstreams nor an
// entry of the platform's list overrides them. A statement applies to one incarnation (id and `born`) and outlives its
// entry in the list, because the same process may be listed again. Not thread-safe.
class UpstreamStatements {
public:
    // Returns whether the statement is new: it starts a cooldown while none is active, or is the first that states that
    // the upstream is leaving.
    bool record(const UpstreamRecord&, const UpstreamStatement&, Common::TimePoint now);

    // Returns whether no statement of the upstream forbids sending it a request now.
    bool allowsRequest(const UpstreamRecord&, Common::TimePoint now) const;
    bool isLeaving(const UpstreamRecord&) const;
    // Returns the end of the upstream's cooldown, or nullopt if it is in none. A later statement never shortens a
    // cooldown.
    std::optional<Common::TimePoint> cooldownEnd(const UpstreamRecord&, Common::TimePoint now) const;
    // Returns the number of upstreams in a cooldown.
    size_t cooldownCount(Common::TimePoint now) const;

private:
    struct StatementEntry {
        uint64_t born { 0 };
        bool isLeaving { false };
        Common::TimePoint cooldownEnd {};
        Common::TimePoint recorded {};
    };

    const StatementEntry* find(const UpstreamRecord&) const;
    void evictOldest(Common::TimePoint now);

    // By id; the newest incarnation that made a statement.
    std::map<std::string, StatementEntry, std::less<>> m_entries;
};

} // namespace Brassladder::RouteServing::Routing
