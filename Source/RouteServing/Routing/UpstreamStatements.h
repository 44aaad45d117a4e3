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
    bool isLeaving { false }; // It will end, and wants nothing new.
    std::optional<Common::Milliseconds> cooldown; // It wants no request from this router for this long.

    bool isEmpty() const { return !isLeaving && !cooldown; }
};

// What upstreams have stated about themselves in responses to this router: until when they want no request from it, and
// that they are leaving.
//
// These are facts. An ejection is a guess of this router's, which may be wrong, so an ejected upstream still gets a
// request when no other is left (UpstreamHealth); nothing overrides what is kept here, neither a lack of other
// upstreams nor an entry of the platform's list. An upstream that refused everything got 14 requests from one router in
// the 3 s of rest that it had asked for, since refusing made it the one with the fewest requests.
//
// A statement is about one start of an upstream (id and `born`) and stays when its entry lapses: the same process may
// be listed again. Another start has stated nothing. Not safe for several threads.
class UpstreamStatements {
public:
    // Returns whether this is news: the upstream was not resting before, or not known to be leaving.
    bool record(const UpstreamRecord&, const UpstreamStatement&, Common::TimePoint now);

    // Whether it has stated nothing that forbids to send it a request now.
    bool allowRequest(const UpstreamRecord&, Common::TimePoint now) const;
    bool isLeaving(const UpstreamRecord&) const;
    // The end of its rest; none when it does not rest. The latest end of all that it has asked for: a shorter rest that
    // it asks for later, on another request, takes nothing back.
    std::optional<Common::TimePoint> cooldownEnd(const UpstreamRecord&, Common::TimePoint now) const;
    // How many upstreams rest now.
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

    std::map<std::string, StatementEntry, std::less<>> m_known; // By id; the newest start that stated something.
};

} // namespace Brassladder::RouteServing::Routing
