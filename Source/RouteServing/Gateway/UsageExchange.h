// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Mesh.h"
#include "RouteServing/Duties/FleetClock.h"
#include "RouteServing/Duties/UsageLedger.h"
#include "RouteServing/Duties/UsageReports.h"
#include "RouteServing/Routing/RevisionCursor.h"
#include "RouteServing/Routing/Roster.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace Brassladder::RouteServing::Gateway {

// Counts the requests that begin to run, and passes the fleet's counts on with the messages of PeerExchange: from a
// router to its hub, from a hub to the store reader that it asks, and from there to the holder of the duties. Safe to
// use from several threads.
class UsageExchange {
public:
    using SystemClock = std::function<Common::Milliseconds()>; // The time of day, since the start of 1970.

    UsageExchange(Duties::RouterProcess self, Duties::UsageTimes, SystemClock);

    const Duties::RouterProcess& self() const { return m_self; }
    // A request of the workspace began to run.
    void count(std::string_view workspace);
    // Nothing more will be counted: a planned stop is at its end.
    void finish();

    // Adds what the peer lacks; false when there is nothing.
    bool addChanges(const std::string& peer, Inner::Wire::UsageTable&);
    void receive(const Inner::Mesh::Sender&, const Inner::Wire::UsageTable&);
    // Up to which revision of which process of the peer this router has its changes, to tell it.
    Routing::RosterPosition received(const std::string& peer) const;
    // The peer has this router's changes up to that revision.
    void acknowledge(const std::string& peer, uint64_t revision);
    // The connection to the peer has ended.
    void forgetSent(const std::string& peer);

    // The clocks of the fleet (Duties/FleetClock.h), in milliseconds since the start of 1970.
    uint64_t ownTime() const;
    uint64_t agreedTime() const;
    void recordSubscriberTime(const std::string& peer, uint64_t own);
    void recordHubTime(uint64_t agreed, Common::TimePoint requestedAt);

    // Calls the function with the ledger and the agreed time, under the lock.
    template <typename Function> auto inspect(const Function& function)
    {
        std::lock_guard lock(m_mutex);
        auto now = advanceClock();
        return function(std::as_const(m_ledger), now);
    }

private:
    // Follows the clock. The caller holds the lock.
    Common::Milliseconds advanceClock();

    const Duties::RouterProcess m_self;
    const Duties::UsageTimes m_times;
    SystemClock m_systemClock;
    mutable std::mutex m_mutex; // Guards the rest.
    Duties::FleetClock m_clock;
    Duties::UsageLedger m_ledger;
    std::map<std::string, Routing::RevisionCursor> m_sent; // By peer.
    std::map<std::string, Routing::RosterPosition> m_received; // By peer.
};

} // namespace Brassladder::RouteServing::Gateway
