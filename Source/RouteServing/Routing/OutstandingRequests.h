// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Brassladder::RouteServing::Routing {

// Tracks this router's snapshot requests that have no response yet. There are several if the round trip takes longer
// than the interval between requests. Decides when the target counts as unresponsive. Not thread-safe.
class OutstandingRequests {
public:
    // A router that has not responded for this long counts as unresponsive. Five exchange intervals of a small fleet.
    static constexpr Common::Milliseconds defaultResponseTimeout { 500 };

    explicit OutstandingRequests(Common::Milliseconds responseTimeout = defaultResponseTimeout)
        : m_responseTimeout(responseTimeout)
    {
    }
    // Sets the router that requests go to: a hub or, if this router is a hub, a store reader; empty if there is none.
    // If the target or the role changes, drops the outstanding requests.
    void setTarget(std::string target, bool asHub);
    const std::string& target() const { return m_target; }
    // Whether this router sends its requests as a hub.
    bool asHub() const { return m_asHub; }

    // Records a request and returns the number that its response will carry. If the target or the role has changed
    // since the request was prepared, records nothing and returns nullopt; the request must not be sent then.
    std::optional<uint64_t> add(std::string_view target, bool asHub, Common::TimePoint now);
    // Removes the request that a response belongs to, and all older ones. Returns when the request was sent, or nullopt
    // if it is not outstanding.
    std::optional<Common::TimePoint> complete(std::string_view from, uint64_t number);

    // Whether a response is overdue, so that the target counts as unresponsive.
    bool isOverdue(Common::TimePoint now) const;
    // Returns the time until a response is overdue, or nullopt if none is awaited.
    std::optional<Common::Milliseconds> untilOverdue(Common::TimePoint now) const;
    void clear() { m_sent.clear(); }

private:
    Common::Milliseconds m_responseTimeout;
    std::string m_target;
    bool m_asHub { false };
    uint64_t m_last { 0 };
    std::map<uint64_t, Common::TimePoint> m_sent; // By number.
};

// The version of a piece of state that was last sent to a peer. While it may still be in flight, responses to the peer
// do not include it again. Not thread-safe.
class LastSentVersion {
public:
    // `lostAfter` is how long a copy may be in flight before it counts as lost.
    explicit LastSentVersion(Common::Milliseconds lostAfter)
        : m_lostAfter(lostAfter)
    {
    }

    // Returns whether the version must be sent now. If so, records it as in flight.
    bool beginSend(uint64_t version, Common::TimePoint now);
    // Marks the copy in flight as lost.
    void forget() { m_at.reset(); }

private:
    Common::Milliseconds m_lostAfter;
    uint64_t m_version { 0 };
    std::optional<Common::TimePoint> m_at;
};

} // namespace Brassladder::RouteServing::Routing
