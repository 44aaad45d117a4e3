// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Routing {

// The snapshot requests of this router that have no response yet: more than one when the round trip takes longer than
// the interval between two requests. Decides when the target counts as unresponsive. Not safe for several threads.
class OutstandingRequests {
public:
    // Where requests go from now on: a hub, or for a hub a store reader; empty when there is no target. Requests to
    // another target are forgotten.
    void setTarget(std::string target, bool asHub);
    const std::string& target() const { return m_target; }
    // Whether this router sends its requests as a hub.
    bool asHub() const { return m_asHub; }

    // Records a request, and returns the number that its response will carry. None, and nothing is recorded, when the
    // target has changed since the request was prepared: it must not be sent.
    std::optional<uint64_t> add(std::string_view target, bool asHub, Common::TimePoint now);
    // When the request was sent that a response belongs to; older requests count as answered too. None when the
    // response belongs to no outstanding request.
    std::optional<Common::TimePoint> take(std::string_view from, uint64_t number);

    // Whether a response is overdue: the target is dead or cut off.
    bool isOverdue(Common::TimePoint now) const;
    void clear() { m_sent.clear(); }

private:
    std::string m_target;
    bool m_asHub { false };
    uint64_t m_last { 0 };
    std::map<uint64_t, Common::TimePoint> m_sent; // By number.
};

// The version of something that a peer was sent last: it is not sent again with each response while the first copy may
// still be in flight. Not safe for several threads.
class LastSentVersion {
public:
    // `lostAfter`: how long a copy may be in flight before it counts as lost.
    explicit LastSentVersion(Common::Milliseconds lostAfter)
        : m_lostAfter(lostAfter)
    {
    }

    // Whether the version must be sent now; it is in flight from then on.
    bool beginSend(uint64_t version, Common::TimePoint now);
    // What was in flight is lost.
    void forget() { m_at.reset(); }

private:
    Common::Milliseconds m_lostAfter;
    uint64_t m_version { 0 };
    std::optional<Common::TimePoint> m_at;
};

} // namespace Brassladder::RouteServing::Routing
