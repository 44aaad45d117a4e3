// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Mesh.h"
#include "RouteServing/Routing/PeerBackoff.h"
#include "RouteServing/Routing/SlotCoordinator.h"
#include "RouteServing/Routing/SlotCoordinatorRanking.h"

#include <boost/fiber/condition_variable.hpp>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

class SlotExchange;

// A slot of a fragile upstream that is reserved for one request. The destructor releases it.
class SlotReservation {
public:
    SlotReservation(SlotExchange& exchange, uint64_t sequence)
        : m_exchange(&exchange)
        , m_sequence(sequence)
    {
    }
    ~SlotReservation();
    SlotReservation(SlotReservation&& other) noexcept
        : m_exchange(std::exchange(other.m_exchange, nullptr))
        , m_sequence(other.m_sequence)
        , m_release(other.m_release)
    {
    }
    SlotReservation& operator=(SlotReservation&&) = delete;

    // Sets how the reservation ends. Without a call, the upstream has finished the request.
    void setRelease(const Routing::SlotRelease& release) { m_release = release; }

private:
    SlotExchange* m_exchange;
    uint64_t m_sequence;
    Routing::SlotRelease m_release;
};

// Reserves slots of fragile upstreams for the requests of this router, and coordinates the slots of those upstreams for
// which it is the coordinator (Routing/SlotCoordinator.h, SlotCoordinatorRanking.h). Without the grant of a coordinator
// nothing is sent to a fragile upstream. docs/design/fragile-upstreams.md weighs the ways. Thread-safe.
class SlotExchange {
public:
    using Send = std::function<void(const std::string& router, Inner::Wire::Item)>;

    explicit SlotExchange(std::string self);

    // Sets what identifies this router's process in messages (Mesh::Sender). Must be called before the exchange is
    // used.
    void setIncarnation(uint64_t incarnation) { m_incarnation = incarnation; }
    // Sets the function that sends an item to a router, and drops it if the router is unknown. Must be called before
    // the exchange is used.
    void setSend(Send send) { m_send = std::move(send); }
    // Replaces the clock that tells when reservations are released, for simulations.
    void setClock(std::function<Common::TimePoint()> clock) { m_clock = std::move(clock); }
    // Sets the routers of the fleet, including this one.
    void setRouters(std::span<const Routing::SlotCoordinatorRanking::Router>);
    // Records a message of a router, which is running therefore. A router coordinates an upstream only while it hears
    // from none that ranks before it.
    void recordContact(const std::string& router, Common::TimePoint now);
    // Records that the connection to a router has ended or could not be opened.
    void recordUnreachable(const std::string& router, Common::TimePoint now);
    // What this router knows of the fleet, by key of the upstream (Routing::statementKey).
    struct FleetView {
        std::function<unsigned(uint32_t upstream)> reportedLoad; // Requests sent there by all routers.
        // Since when this router has known that the upstream is fragile; nullopt if it does not know.
        std::function<std::optional<Common::TimePoint>(uint32_t upstream)> fragileSince;
        double reachableShare { 1 }; // Of the fleet's routers, in [0, 1].
    };
    // Updates the coordinators with the view, and removes what has expired. Called at each interval of the exchange
    // between routers while upstreams are fragile.
    void step(const FleetView&, Common::TimePoint now);

    // What a request needs.
    struct Order {
        uint32_t upstream { 0 }; // Routing::statementKey.
        unsigned slots { 1 }; // Of the upstream.
        size_t rank { 0 }; // Urgency, 0 is the highest.
        Common::TimePoint waitUntil; // How long the request may wait for a slot.
        Common::TimePoint runUntil; // Deadline of the request.
        // Since when this router has known that the upstream is fragile; nullopt if it has not stated so.
        std::optional<Common::TimePoint> fragileSince {};
    };
    // No slot is free in time.
    struct Denial {
        Common::Milliseconds retryAfter { 0 }; // When the caller should come back.
    };
    using Outcome = std::variant<SlotReservation, Denial>;
    // Reserves a slot. Suspends the fiber, until a little after the end of the wait at most.
    Outcome reserve(const Order&);

    // The steps of reserve(), which do not suspend the fiber.
    struct Progress {
        std::optional<Outcome> outcome; // nullopt while the reservation is pending.
        Common::TimePoint next; // When to call advance() again, unless a message arrives before.
    };
    uint64_t begin(const Order&, Common::TimePoint now);
    Progress advance(uint64_t sequence, Common::TimePoint now);
    void release(uint64_t sequence, const Routing::SlotRelease&);

    // Handles the item if it belongs to this exchange.
    void receive(const Inner::Mesh::Sender&, const Inner::Wire::Item&, Common::TimePoint now);

    struct Summary {
        size_t coordinated { 0 }; // Upstreams whose slots this router coordinates.
        size_t reserved { 0 }; // Slots there that are reserved.
        size_t waiting { 0 }; // Requests that wait for one.
    };
    Summary summary() const;

private:
    enum class State : uint8_t { Unanswered, Queued, Granted, Denied };
    // A reservation of this router, or the attempt to get one.
    struct Pending {
        Order order;
        std::string coordinator;
        State state { State::Unanswered };
        Common::TimePoint answerDue;
        size_t coordinatorsAsked { 0 };
        Common::Milliseconds retryAfter { 0 };
        // Notified when the state changes. Shared with the fiber that waits.
        std::shared_ptr<boost::fibers::condition_variable_any> changed;
    };
    using Outbox = std::vector<std::pair<std::string, Inner::Wire::Item>>;

    // The functions below require the lock. They add what is to be sent to the outbox.
    bool isUsable(const std::string& router, Common::TimePoint now) const;
    // Asks the next coordinator. Denies if there is none, or none is left to ask.
    void ask(uint64_t sequence, Pending&, Outbox&, Common::TimePoint now);
    static void setState(Pending&, State);
    void askNext(uint64_t sequence, Pending&, Outbox&, Common::TimePoint now);
    void withdraw(uint64_t sequence, const Pending&, const Routing::SlotRelease&, Outbox&, Common::TimePoint now);
    // Returns the router that coordinates the upstream, as far as this one hears.
    std::string coordinatorOf(uint32_t upstream, Common::TimePoint now) const;
    // `fragileFor`: how long the sender of a request has known that the upstream is fragile.
    Routing::SlotCoordinator& coordinatorFor(uint32_t upstream, Common::Milliseconds fragileFor, Common::TimePoint now);
    void coordinate(const std::string& router, uint64_t incarnation, const Inner::Wire::SlotRequest&, Outbox&,
        Common::TimePoint now);
    void endReservation(const std::string& router, uint64_t incarnation, const Inner::Wire::SlotRelease&, Outbox&,
        Common::TimePoint now);
    void grantWaiting(uint32_t upstream, Routing::SlotCoordinator&, Outbox&, Common::TimePoint now);
    void reply(uint32_t upstream, const Routing::SlotRequestId&, const Routing::SlotCoordinator::Decision&, Outbox&,
        Common::TimePoint now);
    void send(const Routing::SlotRequestId&, Inner::Wire::SlotReply, Outbox&, Common::TimePoint now);
    void receiveReply(const std::string& sender, const Inner::Wire::SlotReply&, Outbox&, Common::TimePoint now);
    // Forgets the earlier process of a router that has started again.
    void recordIncarnation(const std::string& router, uint64_t incarnation, Common::TimePoint now);

    // Suspends the fiber until the reservation is decided, or until the time given.
    void awaitChange(uint64_t sequence, Common::TimePoint until);
    void send(Outbox&) const;

    const std::string m_self;
    uint64_t m_incarnation { 0 };
    std::function<Common::TimePoint()> m_clock { [] { return Common::now(); } };
    Send m_send { [](const auto&, auto) {} };
    mutable std::mutex m_mutex; // Guards the members below.
    Routing::SlotCoordinatorRanking m_ranking;
    std::map<std::string, Routing::PeerBackoff> m_backoffs; // Of routers that did not answer.
    std::map<uint32_t, Routing::SlotCoordinator> m_coordinators; // Of the upstreams that this router coordinates.
    std::map<std::string, Common::TimePoint> m_contacts; // Last message of each router.
    std::map<std::string, uint64_t> m_incarnations; // Of the routers that have asked this one.
    std::map<uint64_t, Pending> m_pending; // By sequence, until released.
    uint64_t m_lastSequence { 0 };
    FleetView m_view; // Of the last step.
    std::optional<Common::TimePoint> m_lastStep;
};

} // namespace Brassladder::RouteServing::Gateway
