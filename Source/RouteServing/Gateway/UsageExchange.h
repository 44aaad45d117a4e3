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

// Counts the requests that begin to run, and exchanges usage counts in the messages of PeerExchange. Counts flow from a
// router to its hub, from a hub to its store reader, and from there to the holder of the duties. Thread-safe.
class UsageExchange {
public:
    using SystemClock = std::function<Common::Milliseconds()>; // Wall-clock time since the Unix epoch.

    UsageExchange(Duties::RouterProcess self, Duties::UsageTimes, SystemClock);

    const Duties::RouterProcess& self() const { return m_self; }
    // Counts one request of the workspace that began to run.
    void count(std::string_view workspace);
    // Called at the end of a planned stop. No request is counted afterwards.
    void finish();

    // Adds the changes that the peer has not received. Returns false if there are none, or if earlier changes are in
    // flight.
    bool addChanges(const std::string& peer, Inner::Wire::UsageTable&);
    void receive(const Inner::Mesh::Sender&, const Inner::Wire::UsageTable&);
    // Returns the process of the peer and the revision up to which this router has received its changes.
    Routing::RosterPosition received(const std::string& peer) const;
    // Records that the peer has this router's changes up to the revision.
    void acknowledge(const std::string& peer, uint64_t revision);
    // Called when the connection to the peer has ended. Unacknowledged changes are sent again.
    void forgetSent(const std::string& peer);

    // Access to the fleet clock (Duties/FleetClock.h). Times are in milliseconds since the Unix epoch.
    uint64_t ownTime() const;
    uint64_t agreedTime() const;
    void recordSubscriberTime(const std::string& peer, uint64_t time);
    void recordHubTime(uint64_t time, Common::TimePoint requestedAt);

    // Calls the function with the ledger and the agreed time while holding the lock.
    template <typename Function> auto inspect(const Function& function)
    {
        std::lock_guard lock(m_mutex);
        auto now = advanceClock();
        return function(std::as_const(m_ledger), now);
    }

private:
    // Advances the clock and the ledger to the current window, and returns the agreed time. The caller must hold the
    // lock.
    Common::Milliseconds advanceClock();

    const Duties::RouterProcess m_self;
    const Duties::UsageTimes m_times;
    SystemClock m_systemClock;
    mutable std::mutex m_mutex; // Guards the members below.
    Duties::FleetClock m_clock;
    Duties::UsageLedger m_ledger;
    std::map<std::string, Routing::RevisionCursor> m_sent; // By peer.
    std::map<std::string, Routing::RosterPosition> m_received; // By peer.
};

} // namespace Brassladder::RouteServing::Gateway
