// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "RouteServing/Routing/RecentCount.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// Identifies a request for a slot within the fleet.
struct SlotRequestId {
    std::string router;
    uint64_t incarnation { 0 }; // Of the router's process.
    uint64_t sequence { 0 }; // Unique within the process.
    auto operator<=>(const SlotRequestId&) const = default;
};

// How a reservation ended.
struct SlotRelease {
    bool wasRejected { false }; // The upstream rejected the request for lack of room.
    // How much longer the upstream may work on the request, whose response the router has not read to its end.
    Common::Milliseconds busyFor { 0 };
};

// Reserves the slots of one fragile upstream for the requests of all routers. A fragile upstream fails if it has to
// reject more than a few requests, so it gets no more requests than it has slots, and further ones wait here in order
// of urgency. One router coordinates an upstream; while routers disagree which, each coordinator sees the reservations
// of the other one in the load that routers report. Does no I/O and reads no clock. Not thread-safe.
class SlotCoordinator {
public:
    struct Request {
        SlotRequestId id;
        size_t rank { 0 }; // Urgency, 0 is the highest.
        unsigned slots { 1 }; // Of the upstream, as its entry in the list states.
        Common::TimePoint waitUntil; // The router gives up then.
        Common::TimePoint runUntil; // The reservation expires then, unless it is released before.
    };
    enum class Verdict : uint8_t { Granted, Queued, Denied };
    struct Decision {
        Verdict verdict { Verdict::Denied };
        // If denied: after this time, the upstream is expected to have room for the requests that were denied recently.
        Common::Milliseconds retryAfter { 0 };
    };

    // Grants nothing until then. Called when another coordinator may have granted slots until now, whose requests are
    // not in the reported load yet.
    void settleUntil(Common::TimePoint);
    Decision request(const Request&, Common::TimePoint now);
    // Ends a reservation or the wait for one. Ignores unknown ones.
    void release(const SlotRequestId&, const SlotRelease&, Common::TimePoint now);
    // Ends the waits of a router that has lost its connection, and its reservations shortly after.
    void forgetRouter(std::string_view router, Common::TimePoint now);
    // Grants the free slots to waiting requests.
    std::vector<SlotRequestId> grantWaiting(Common::TimePoint now);

    // Sets how many requests all routers have sent to the upstream and not seen the end of, as they report a few
    // hundred milliseconds later. Includes requests without a reservation and those of other coordinators.
    void setReportedLoad(unsigned requests);
    // Sets the share of the fleet's routers that this one is connected to, in [0, 1]. In a part of a fleet only as
    // large a share of the slots is used, since the rest of the fleet has a coordinator of its own.
    void setReachableShare(double share) { m_reachableShare = share; }

    size_t reserved() const { return m_reservations.size(); }
    size_t waiting() const { return m_waiting.size(); }
    bool isIdle(Common::TimePoint now) const;

private:
    struct Reservation {
        Common::TimePoint since;
        Common::TimePoint until;
    };
    void expire(Common::TimePoint now);
    bool hasRoom(Common::TimePoint now) const;
    // Returns the slots that may be taken now: fewer after rejections, and while others send requests too.
    size_t room() const;
    // Estimates how many requests are under way that this coordinator did not grant.
    size_t othersLoad() const;
    void grant(const Request&, Common::TimePoint now);
    // Returns the next request to be granted. Must not be called without waiting ones.
    std::vector<Request>::iterator nextWaiting();
    Common::Milliseconds expectedWait(size_t rank, Common::TimePoint now) const;
    Common::Milliseconds retryAfter(Common::Milliseconds expectedWait, Common::TimePoint now) const;

    std::map<SlotRequestId, Reservation> m_reservations;
    std::vector<Request> m_waiting; // In order of arrival.
    unsigned m_slots { 1 };
    unsigned m_grantsPastOldest { 0 }; // Since the oldest waiting request was passed over.
    std::optional<double> m_holdSeconds; // Average time of a reservation.
    // Averages of the recent reports, and of the reservations at the same times.
    std::optional<double> m_reportedLoad;
    double m_reservedLoad { 0 };
    double m_reachableShare { 1 };
    Common::TimePoint m_settledAt {};
    RecentCount m_granted;
    RecentCount m_denied;
    unsigned m_closedSlots { 0 }; // Left unused after rejections.
    Common::TimePoint m_closedAt {}; // When `m_closedSlots` last changed.
    Common::TimePoint m_lastRequest {};
};

} // namespace Brassladder::RouteServing::Routing
