// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "ClassServing/BackingServices/InstanceList.h"
#include "Common/Clock.h"
#include "Common/Rcu.h"
#include "Inner/Mesh.h"

#include <mutex>
#include <set>

namespace Brassladder::ClassServing::Membership {

using Common::TimePoint;

struct Upstream {
    std::string id;
    Common::Endpoint endpoint;
    std::string failureDomain;
    bool leaving { false };
    bool operator==(const Upstream&) const = default;
};

// An immutable snapshot of the live routers and the listed upstreams, as this router sees them.
struct View {
    std::vector<std::string> routers; // The routers that may be a home, sorted.
    std::map<std::string, std::vector<Upstream>, std::less<>> pools; // Sorted by id within a pool.

    const Upstream* upstream(std::string_view pool, std::string_view id) const;
    bool operator==(const View&) const = default;
};

// Determines which routers are alive. Uses the platform's instance list (which may be out of date), the heartbeats of
// peers and the state of connections. Each router sends heartbeats to a few watchers. For a watcher, a router is alive
// while its heartbeats arrive; for the other routers, while no watcher reports it as unresponsive. Such reports
// (suspicions) are forwarded with their age and expire unless they are renewed, so a lost message has no lasting
// effect. Thread-safe.
class Table {
public:
    static constexpr Common::Milliseconds defaultHeartbeatTimeout { 1500 };

    struct Options {
        std::string self;
        // A peer that sends no message for longer is not alive.
        Common::Milliseconds heartbeatTimeout { defaultHeartbeatTimeout };
    };

    explicit Table(Options);

    void setInstances(std::vector<BackingServices::Instance>, TimePoint now);
    // Records that a message of the router itself arrived.
    void recordMessage(const std::string& router, TimePoint now);
    // Records another router's report that `router` was found unresponsive `age` ago.
    void recordSuspicion(const std::string& router, Common::Milliseconds age, TimePoint now);
    // Marks a router as not alive until its next message, after a failed connection or a missing response.
    void suspect(const std::string& router, TimePoint now);
    void setRouterLeaving(const std::string& router, bool leaving, TimePoint now);
    // Records a report that the upstream is leaving. The report expires after `leavingRetention`.
    void setUpstreamLeaving(const std::string& upstream, TimePoint now);
    void setSelfLeaving(TimePoint now);
    // Applies expired heartbeats and suspicions. Must be called several times per `heartbeatTimeout`.
    void tick(TimePoint now);

    std::shared_ptr<const View> view() const { return m_view.load(); }
    // Sets the hook that runs for each new view, on the thread that caused the change. The hook may read the table, but
    // must not change it, since it runs while the lock for publishing is held.
    void onChange(std::function<void(const View&)> hook) { m_onChange = std::move(hook); }

    std::vector<Inner::Peer> peers() const;
    std::vector<std::string> leavingUpstreams() const;
    // Returns the suspicions to report to other routers: all unresponsive routers, with the age of the suspicion.
    std::vector<std::pair<std::string, Common::Milliseconds>> suspicions(TimePoint now) const;
    bool isAlive(const std::string& router) const;

private:
    struct RouterState {
        TimePoint lastMessageAt {};
        TimePoint lastSuspicionAt {}; // Time of the latest suspicion that a watcher reported.
        bool suspected { false };
        bool watched { false };
        bool leaving { false };
    };
    bool isUnresponsive(const RouterState&, TimePoint now) const;
    void updateWatchedRouters();
    View build(TimePoint now) const;
    void publish(TimePoint now);

    Options m_options;
    mutable std::mutex m_mutex;
    std::mutex m_publishMutex;
    std::vector<BackingServices::Instance> m_instances;
    std::map<std::string, RouterState> m_routers;
    std::map<std::string, TimePoint> m_leavingUpstreams; // Time of the first report, by upstream.
    bool m_selfLeaving { false };
    Common::RcuCell<View> m_view;
    std::function<void(const View&)> m_onChange;
};

// Fleets of up to this many routers form a full mesh, in which each router watches all others. The limit bounds the
// number of heartbeats in larger fleets.
inline constexpr size_t fullMeshRouters = 9;

// Returns the routers that watch `self`: its next `fullMeshRouters - 1` successors on the ring of the sorted ids, or
// all other routers if there are fewer.
std::vector<std::string> watchersOf(std::span<const std::string> sortedIds, std::string_view self);
// Returns random routers to send heartbeats to, in addition to the watchers. They spread suspicions to the whole fleet
// in a logarithmic number of rounds. Empty if the fleet is a full mesh.
std::vector<std::string> randomHeartbeatTargets(
    std::span<const std::string> sortedIds, std::string_view self, uint64_t randomValue);

} // namespace Brassladder::ClassServing::Membership
