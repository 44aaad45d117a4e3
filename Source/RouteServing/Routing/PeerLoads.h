// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/LoadSums.h"

#include <string>

namespace Brassladder::RouteServing::Routing {

// The tables of one kind that other routers reported to this one, and the sums that this router passes on. Each
// router's table is counted exactly once everywhere: subscribers report their own table to their hub, hubs report the
// sum of their subscribers and themselves to the other hubs, and a subscriber receives the sum of all others. Not
// thread-safe.
template <typename Table> class PeerSums {
public:
    // Reports older than `maxAge` are ignored.
    explicit PeerSums(Common::Milliseconds maxAge)
        : m_subscribers(maxAge)
        , m_hubs(maxAge)
    {
    }

    // Records a subscriber's own table, which its snapshot request carries.
    void recordSubscriber(const std::string& id, Table table, Common::TimePoint now)
    {
        m_subscribers.record(id, std::move(table), 1, now);
    }

    // Records the table of `routers` routers, from another hub or from a snapshot of this router's own hub.
    void recordHub(const std::string& id, Table table, unsigned routers, Common::TimePoint now)
    {
        m_hubs.record(id, std::move(table), routers, now);
    }

    // Replace rows of the last table of a subscriber or a hub.
    void updateSubscriber(const std::string& id, const Table& rows) { m_subscribers.update(id, rows); }
    void updateHub(const std::string& id, const Table& rows) { m_hubs.update(id, rows); }

    // Drops the last report of a hub that does not respond.
    void forgetHub(const std::string& id) { m_hubs.forget(id); }

    // Returns the sum of all other routers.
    Table sumOfOthers(Common::TimePoint now) const
    {
        auto sum = m_hubs.sumExcluding({}, now);
        addLoads(sum, m_subscribers.sumExcluding({}, now));
        return sum;
    }

    // Returns the table that this router reports: to the other hubs, or to the hub `target` that it requests snapshots
    // from. Excludes what `target` reported as a subscriber. `select` is applied to the table of each other router.
    template <typename... Select>
    Table sumWithSubscribers(
        Table own, Common::TimePoint now, const std::string& target = {}, const Select&... select) const
    {
        addLoads(own, m_subscribers.sumExcluding(target, now, select...));
        return own;
    }

    // Returns the table that this hub sends to a subscriber: that of all routers except the subscriber. `select` is
    // applied to the table of each other router.
    template <typename... Select>
    Table sumForSubscriber(const std::string& id, Table own, Common::TimePoint now, const Select&... select) const
    {
        addLoads(own, m_subscribers.sumExcluding(id, now, select...));
        addLoads(own, m_hubs.sumExcluding(id, now, select...));
        return own;
    }

    // Return how many other routers the recent reports of subscribers and of hubs cover.
    unsigned subscriberRouters(Common::TimePoint now) const { return m_subscribers.routers(now); }
    unsigned hubRouters(Common::TimePoint now) const { return m_hubs.routers(now); }

private:
    ReportSums<Table> m_subscribers;
    ReportSums<Table> m_hubs; // Reports of other hubs or, on a subscriber, of its own hub.
};

// Load reports older than this are ignored. Fifteen exchange intervals, so that the loss of a few messages does not
// make a loaded upstream appear idle.
inline constexpr Common::Milliseconds loadReportMaxAge { 1500 };

// The outstanding load of other routers.
class PeerLoads : public PeerSums<LoadsByUpstream> {
public:
    PeerLoads()
        : PeerSums(loadReportMaxAge)
    {
    }
};

} // namespace Brassladder::RouteServing::Routing
