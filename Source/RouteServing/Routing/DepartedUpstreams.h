// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/Upstream.h"

#include <deque>
#include <map>
#include <string>

namespace Brassladder::RouteServing::Routing {

// Stores the last incarnation of each upstream that is no longer listed, so that a delayed write cannot restore a
// leaving or an earlier incarnation. The number of ids is bounded; those that departed first are evicted. Not
// thread-safe.
class DepartedUpstreams {
public:
    // Records that the upstream is no longer listed.
    void record(const UpstreamRecord&);
    // Returns whether this incarnation must not be used if it is listed again: it was leaving, or a later one was
    // known.
    bool isObsolete(const UpstreamRecord&) const;
    // Whether this incarnation was listed before and is recorded as no longer listed.
    bool contains(const UpstreamIncarnation&) const;

private:
    struct Incarnation {
        uint64_t born { 0 };
        bool wasLeaving { false };
    };

    std::map<std::string, Incarnation, std::less<>> m_incarnations; // By id.
    std::deque<std::string> m_order; // Ids in the order of their first departure.
};

} // namespace Brassladder::RouteServing::Routing
