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

// Who is there, as this router sees it at one moment. Immutable.
struct View {
    std::vector<std::string> routers; // Those that may be a home, sorted.
    std::map<std::string, std::vector<Upstream>, std::less<>> pools; // Sorted by id within a pool.

    const Upstream* upstream(std::string_view pool, std::string_view id) const;
    bool operator==(const View&) const = default;
};

// Decides which routers are alive from three sources: the platform's instance list, which lags; the heartbeats of
// peers; and the state of connections. Each router sends heartbeats to a few watchers. A watcher considers it alive
// while its heartbeats arrive; all others while no watcher reports it missing. Suspicions are passed on with their age
// and expire unless they are renewed, so messages are rare and a lost one is harmless. Safe to use from several
// threads.
class Table {
public:
    // Six heartbeats of the default 250 ms. Chosen, not measured.
    static constexpr Common::Milliseconds defaultHeartbeatTimeout { 1500 };

    struct Options {
        std::string self;
        Common::Milliseconds heartbeatTimeout {
            defaultHeartbeatTimeout
        }; // A peer that sends nothing for longer is not alive.
    };

    explicit Table(Options);

    void setInstances(std::vector<BackingServices::Instance>, TimePoint now);
    // A message of the peer itself arrived.
    void recordMessage(const std::string& router, TimePoint now);
    // Another router reported that the peer's watchers miss it, or did so `age` ago.
    void recordSuspicion(const std::string& router, Common::Milliseconds age, TimePoint now);
    // A connection failed, or the peer did not answer in time: not alive until it is heard again.
    void suspect(const std::string& router, TimePoint now);
    void setRouterLeaving(const std::string& router, bool leaving, TimePoint now);
    // An upstream or a peer reported that the upstream is leaving. Reverted when the list shows it gone and live again.
    void setUpstreamLeaving(const std::string& upstream, TimePoint now);
    void setSelfLeaving(TimePoint now);
    // Looks at the clock; must be called a few times within `heartbeatTimeout`.
    void tick(TimePoint now);

    std::shared_ptr<const View> view() const { return m_view.load(); }
    // Called with each new view, outside of locks, by the thread that caused it.
    void onChange(std::function<void(const View&)> hook) { m_onChange = std::move(hook); }

    std::vector<Inner::Peer> peers() const;
    std::vector<std::string> leavingUpstreams() const;
    // What to report to others: the peers that are missed here or were reported missing, with the age of that.
    std::vector<std::pair<std::string, Common::Milliseconds>> suspicions(TimePoint now) const;
    bool isAlive(const std::string& router) const;

private:
    struct RouterState {
        TimePoint lastMessageAt {};
        TimePoint lastSuspicionAt {}; // When its watchers last missed it, as far as was told.
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
    std::map<std::string, TimePoint> m_leavingUpstreams; // When it was told first.
    bool m_selfLeaving { false };
    Common::RcuCell<View> m_view;
    std::function<void(const View&)> m_onChange;
};

// Up to this many routers each watches all others. Chosen so that today's fleets (6 and 7) need no ring; the cost of
// more is in docs/MEASUREMENTS.md, "Control".
inline constexpr size_t fullMeshRouters = 9;

// The routers that watch this one: the next ones on a ring of the sorted ids, all or `fullMeshRouters - 1`. The cost
// for a node does not grow with the fleet.
std::vector<std::string> watchersOf(std::span<const std::string> sortedIds, std::string_view self);
// Heartbeats also go to a few random routers, so that suspicions reach all in logarithmic time.
std::vector<std::string> randomHeartbeatTargets(
    std::span<const std::string> sortedIds, std::string_view self, uint64_t randomValue);

} // namespace Brassladder::ClassServing::Membership
