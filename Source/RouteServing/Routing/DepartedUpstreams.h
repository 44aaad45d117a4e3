// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/Upstream.h"

#include <deque>
#include <map>
#include <string>

namespace Brassladder::RouteServing::Routing {

// The newest start of each upstream that is not listed any more, so that a late write does not bring back one that was
// leaving, or one before it. Bounded. Not safe for several threads.
class DepartedUpstreams {
public:
    // It is not listed any more.
    void record(const UpstreamRecord&);
    // Whether this start, listed again, must not be used: it was leaving, or a later one was known.
    bool isObsolete(const UpstreamRecord&) const;

private:
    struct Start {
        uint64_t born { 0 };
        bool wasLeaving { false };
    };

    std::map<std::string, Start, std::less<>> m_starts; // By id.
    std::deque<std::string> m_order; // Ids, the longest departed first.
};

} // namespace Brassladder::RouteServing::Routing
