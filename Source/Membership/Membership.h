// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Rcu.h"
#include "Inner/Mesh.h"
#include "Platform/InstanceList.h"

#include <mutex>
#include <set>

namespace Brassladder::Membership {

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
// connections show. A router is taken for alive while word of it is fresh and nothing contradicts it.
class Table {
public:
    struct Options {
        std::string self;
        Common::Milliseconds silence { 1500 }; // A peer that is silent for longer is not alive.
    };

    explicit Table(Options);

    void setInstances(std::vector<Platform::Instance>, TimePoint now);
    // Word of a peer, `age` old.
    void heard(const std::string& router, Common::Milliseconds age, TimePoint now);
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
    // The ages of word of the peers that were heard of last, `count` of them in turn.
    std::vector<std::pair<std::string, Common::Milliseconds>> sample(size_t count, TimePoint now);
    bool isAlive(const std::string& router) const;

private:
    struct RouterState {
        TimePoint heard {};
        bool suspected { false };
        bool leaving { false };
    };
    View build(TimePoint now) const;
    void publish(TimePoint now);

    Options m_options;
    mutable std::mutex m_mutex;
    std::mutex m_publishMutex;
    std::vector<Platform::Instance> m_instances;
    std::map<std::string, RouterState> m_routers;
    std::map<std::string, TimePoint> m_leavingUpstreams; // When it was told first.
    size_t m_sampleStart { 0 };
    bool m_selfLeaving { false };
    Common::RcuCell<View> m_view;
    std::function<void(const View&)> m_onChange;
};

// The peers that a router sends heartbeats to: the next ones on a ring of the sorted ids, about twice the logarithm of
// their number, so that the cost for a node grows with log N. Up to nine routers everybody hears everybody.
std::vector<std::string> heartbeatTargets(std::span<const std::string> sortedIds, std::string_view self);

} // namespace Brassladder::Membership
