// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/LoadSums.h"

#include <string>

namespace Brassladder::RouteServing::Routing {

// The loads that other routers reported to this one, and the sums that it passes on, so that each router's load is
// counted once everywhere. Subscribers report their own load to their hub; hubs report the sum of their subscribers and
// themselves to the other hubs; a subscriber receives the sum of all others. Not safe for several threads.
class PeerLoads {
public:
    PeerLoads();

    // A subscriber's own load, with its snapshot request.
    void recordSubscriber(const std::string& id, LoadsByUpstream, Common::TimePoint now);
    // The load of `routers` routers, from another hub or with a snapshot of this router's own hub.
    void recordHub(const std::string& id, LoadsByUpstream, unsigned routers, Common::TimePoint now);
    // The hub does not respond: its last report is not counted any more.
    void forgetHub(const std::string& id) { m_hubs.forget(id); }

    // All that other routers have outstanding.
    LoadsByUpstream sumOfOthers(Common::TimePoint now) const;
    // What this router reports to other hubs, or, with `target`, to the hub that it requests snapshots from.
    LoadsByUpstream sumWithSubscribers(
        LoadsByUpstream own, Common::TimePoint now, const std::string& target = {}) const;
    // What this hub sends to a subscriber: the load of all routers but that one.
    LoadsByUpstream sumForSubscriber(const std::string& id, LoadsByUpstream own, Common::TimePoint now) const;

    // For how many other routers the recent reports of subscribers speak; of hubs.
    unsigned subscriberRouters(Common::TimePoint now) const { return m_subscribers.routers(now); }
    unsigned hubRouters(Common::TimePoint now) const { return m_hubs.routers(now); }

private:
    LoadSums m_subscribers;
    LoadSums m_hubs; // Other hubs; on a subscriber, its own hub.
};

} // namespace Brassladder::RouteServing::Routing
