// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "RouteServing/Routing/LoadSums.h"

#include <string>

namespace Brassladder::RouteServing::Routing {

// The loads that other routers reported to this one, and the sums that this router passes on. Each router's load is
// counted exactly once everywhere: subscribers report their own load to their hub, hubs report the sum of their
// subscribers and themselves to the other hubs, and a subscriber receives the sum of all others. Not thread-safe.
class PeerLoads {
public:
    PeerLoads();

    // Records a subscriber's own load, which its snapshot request carries.
    void recordSubscriber(const std::string& id, LoadsByUpstream, Common::TimePoint now);
    // Records the load of `routers` routers, from another hub or from a snapshot of this router's own hub.
    void recordHub(const std::string& id, LoadsByUpstream, unsigned routers, Common::TimePoint now);
    // Drops the last report of a hub that does not respond.
    void forgetHub(const std::string& id) { m_hubs.forget(id); }

    // Returns the load of all other routers.
    LoadsByUpstream sumOfOthers(Common::TimePoint now) const;
    // Returns the load that this router reports: to the other hubs, or to the hub `target` that it requests snapshots
    // from. Excludes what `target` reported as a subscriber.
    LoadsByUpstream sumWithSubscribers(
        LoadsByUpstream own, Common::TimePoint now, const std::string& target = {}) const;
    // Returns the load that this hub sends to a subscriber: that of all routers except the subscriber.
    LoadsByUpstream sumForSubscriber(const std::string& id, LoadsByUpstream own, Common::TimePoint now) const;

    // Return how many other routers the recent reports of subscribers and of hubs cover.
    unsigned subscriberRouters(Common::TimePoint now) const { return m_subscribers.routers(now); }
    unsigned hubRouters(Common::TimePoint now) const { return m_hubs.routers(now); }

private:
    LoadSums m_subscribers;
    LoadSums m_hubs; // Reports of other hubs or, on a subscriber, of its own hub.
};

} // namespace Brassladder::RouteServing::Routing
