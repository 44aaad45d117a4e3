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

// Decides who is alive from three sources: the platform's instance list, which lags; the heartbeats of peers; and what
// connections show. Each router sends heartbeats to a few that watch it. A watcher takes it for alive while its
// heartbeats are fresh; all others while nobody tells that its watchers miss it. Suspicions are told on with their age
// and fade unless they are renewed, so that what is told is rare and what is forgotten is safe.
class Table {
public:
    struct Options {
        std::string self;
        Common::Milliseconds silence { 1500 }; // A peer that is silent for longer is not alive.
    };

    explicit Table(Options);

    void setInstances(std::vector<BackingServices::Instance>, TimePoint now);
    // Word from the peer itself.
    void heard(const std::string& router, TimePoint now);
    // Another tells that the peer is missed by its watchers, or was so `age` ago.
    void recordSuspicion(const std::string& router, Common::Milliseconds age, TimePoint now);
    // A connection failed, or the peer did not answer in time: not alive until word of it comes again.
    void suspect(const std::string& router, TimePoint now);
    void setRouterLeaving(const std::string& router, bool leaving, TimePoint now);
    // An upstream said, or a peer told, that it is leaving. Taken back when the list shows it gone and live again.
    void setUpstreamLeaving(const std::string& upstream, TimePoint now);
    void setSelfLeaving(TimePoint now);
    // Looks at the clock; must be called a few times within `silence`.
    void tick(TimePoint now);

    std::shared_ptr<const View> view() const { return m_view.load(); }
    // Called with each new view, outside of locks, by the thread that caused it.
    void onChange(std::function<void(const View&)> hook) { m_onChange = std::move(hook); }

    std::vector<Inner::Peer> peers() const;
    std::vector<std::string> leavingUpstreams() const;
    // What to tell others: the peers that are missed here or were told to be, with the age of that.
    std::vector<std::pair<std::string, Common::Milliseconds>> suspicions(TimePoint now) const;
    bool isAlive(const std::string& router) const;

private:
    struct RouterState {
        TimePoint heard {};
        TimePoint told {}; // When its watchers last missed it, as far as was told.
        bool suspected { false };
        bool watched { false };
        bool leaving { false };
    };
    bool isMissed(const RouterState&, TimePoint now) const;
    void refreshWatched();
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

// Up to this many routers everybody watches everybody.
inline constexpr size_t fullMeshRouters = 9;

// The routers that watch this one: the next ones on a ring of the sorted ids, all or `fullMeshRouters - 1`. The cost
// for a node does not grow with the fleet.
std::vector<std::string> watchersOf(std::span<const std::string> sortedIds, std::string_view self);
// To spread news in logarithmic time, heartbeats also go to a few others by chance.
std::vector<std::string> chanceTargets(std::span<const std::string> sortedIds, std::string_view self, uint64_t chance);

} // namespace Brassladder::ClassServing::Membership
