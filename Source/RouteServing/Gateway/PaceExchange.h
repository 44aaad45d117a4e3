// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Inner.pb.h"
#include "RouteServing/Routing/EnginePaces.h"
#include "RouteServing/Routing/PeerLoads.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Brassladder::RouteServing::Gateway {

// Exchanges the recent observations of engines between routers, as part of some of the messages of PeerExchange:
// about one table a second to each receiver, and earlier if an engine is new. Messages in between carry the rows of
// engines whose speed is changing. A table has a bounded number of rows; if there are more engines, successive tables
// contain them in turn. A router that sends no table is of an earlier version and receives none. Thread-safe.
class PaceExchange {
public:
    explicit PaceExchange(Routing::EnginePaces& paces)
        : m_paces(paces)
    {
    }

    // Updates the estimates from the received tables. Call it at every exchange interval.
    void step(Common::TimePoint now);

    // Adds this router's table to a request to its hub or, if it is a hub, that of itself and its subscribers to a
    // message to another hub, if one is due.
    void addTo(Inner::Wire::KnowledgeAsk&, const std::string& hub, Common::TimePoint now);
    void addTo(Inner::Wire::HubLoads&, const std::string& hub, Common::TimePoint now);
    // Records the table that a subscriber's request carries, and adds the table of all other routers to the snapshot if
    // one is due.
    void exchange(const std::string& subscriber, const Inner::Wire::KnowledgeAsk&, Inner::Wire::Knowledge&,
        Common::TimePoint now);
    void receive(const std::string& hub, const Inner::Wire::Knowledge&, Common::TimePoint now);
    void receive(const std::string& hub, const Inner::Wire::HubLoads&, Common::TimePoint now);
    // Drops the last table of a hub that does not respond.
    void forgetHub(const std::string& hub);

    // Rows and bytes that were sent so far.
    struct Sent {
        size_t tables { 0 };
        size_t rows { 0 };
        size_t bytes { 0 };
    };
    Sent sent() const;

private:
    // At most this many tables are sent early to one receiver, and more only after some seconds: in a large fleet, some
    // engine is always new.
    static constexpr double maxEarlyTables = 5;
    // At most this many rows of changing engines are sent to one receiver at once, and more only as time passes.
    static constexpr double maxChangedRows = 40;

    // Another router that this one sends tables to.
    struct Receiver {
        Common::TimePoint sentAt {};
        double earlyTables { maxEarlyTables }; // That may be sent before the interval has passed.
        double changedRows { maxChangedRows }; // That may be sent now.
        Common::TimePoint changesSentAt {};
        uint32_t nextRow { 0 }; // Short hash of the engine that the next table starts with.
    };

    template <typename Message> void receiveFromHub(const std::string& hub, const Message&, Common::TimePoint now);

    // Returns the sum that a receiver is sent: of the given own observations and of the tables that this router
    // received, or of the part of each table that `Select` returns.
    using Select = std::function<Routing::PacesByUpstream(const Routing::PacesByUpstream&)>;
    struct Sum {
        std::function<Routing::PacesByUpstream(Routing::PacesByUpstream own)> all;
        std::function<Routing::PacesByUpstream(Routing::PacesByUpstream own, const Select&)> selected;
    };

    // The functions below require the lock.
    // Adds a table if one is due, otherwise the rows of engines that have changed since the last message.
    template <typename Message> void add(Message&, const std::string& receiver, const Sum&, Common::TimePoint now);
    bool isDue(const std::string& receiver, Common::TimePoint now) const;
    std::vector<uint32_t> changedRows(Receiver&, Common::TimePoint now);
    void encode(
        const Routing::PacesByUpstream&, const std::string& receiver, Inner::Wire::PaceTable&, Common::TimePoint now);
    void recordSent(const Inner::Wire::PaceTable&);
    void logChanges(Common::TimePoint now);

    Routing::EnginePaces& m_paces;
    mutable std::mutex m_mutex; // Guards the members below.
    Routing::PeerSums<Routing::PacesByUpstream> m_peers { Routing::paceReportMaxAge };
    std::map<std::string, Receiver> m_receivers; // By id.
    std::map<std::string, Common::TimePoint> m_readers; // Subscribers, by when they last sent a table.
    Common::TimePoint m_updatedAt {};
    Common::TimePoint m_loggedAt {};
    Sent m_sent;
};

} // namespace Brassladder::RouteServing::Gateway
