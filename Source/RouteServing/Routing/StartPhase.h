// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <optional>
#include <vector>

namespace Brassladder::RouteServing::Routing {

// The phase from a router's start until it has the roster of its fleet. The settings may list a few seeds: routers that
// were listed when this one started. The router requests the roster from a seed, and then all other state from its hub,
// which follows from the roster. This saves calls to the platform's store. If no seed responds in time, the router
// reads the store itself. A router that is a seed reads the store at once, because others wait for it.
//
// Requests cannot be served before the first state (configuration and list of upstreams) has arrived, but do not need
// the roster. A router therefore waits for its first state only briefly, and only until a seed fails. At the first
// start of the whole fleet there is no traffic, and it waits as long as for the roster.
//
// Times are those of the steady clock. Not thread-safe.
class StartPhase {
public:
    // How long a router waits for others before it reads the store itself. Covers the time until all routers of a
    // fleet have started and listen.
    // All routers of a fleet start within 0.3 s, and one on an eighth of a core takes some tenths of a second until it
    // listens.
    static constexpr Common::Milliseconds rosterTimeout { 1000 };
    // Random addition of up to this time, so that routers that start together do not read in step.
    static constexpr Common::Milliseconds rosterTimeoutJitter { 500 };
    // How long a router waits for its first state when there may be traffic: a few round trips and connection setups
    // within a fleet. It is also the added delay after a power loss, when connections to instances without power time
    // out.
    static constexpr Common::Milliseconds firstStateTimeout { 50 };
    // A seed that has just started considers its roster complete when no unlisted router has appeared for this long:
    // two exchange intervals.
    static constexpr Common::Milliseconds settleTime { 200 };

    struct Settings {
        std::vector<Common::Endpoint> seeds;
        bool isFirstStart { false }; // First start of the whole fleet.
    };

    // `jitter` is random, in [0, 1).
    StartPhase(Settings, Common::TimePoint started, double jitter);
    // Sets where peers connect to this router. Must be called before all other functions.
    void setOwnEndpoint(const Common::Endpoint& self);

    // Whether the roster is expected from other routers, so that this router does not read the store.
    bool awaitsRoster(Common::TimePoint now) const { return hasSeeds() && now < m_rosterDeadline; }
    // Whether the first configuration and list of upstreams are expected from other routers.
    bool awaitsState(Common::TimePoint now) const;
    // Returns the seed to query now, or nullopt if there is none.
    std::optional<Common::Endpoint> seedToQuery() const;
    // The seed did not respond: the next one is queried.
    void recordSeedFailure()
    {
        ++m_seedIndex;
        m_hasSeedFailed = true;
    }

    // A router has appeared that was in no roster.
    void recordUnlistedRouter(Common::TimePoint now) { m_lastUnlistedRouter = now; }
    // Whether a roster that was read from the store can be considered complete. When all routers start for the first
    // time, only a few have announced themselves by the time of the read.
    bool isSettled(Common::TimePoint now) const;

private:
    bool hasSeeds() const { return !m_seeds.empty() && !m_isSeed; }

    std::vector<Common::Endpoint> m_seeds; // Without this router.
    bool m_isFirstStart;
    bool m_isSeed { false };
    Common::TimePoint m_started;
    Common::TimePoint m_rosterDeadline;
    size_t m_seedIndex; // Increases with each failure; used modulo the number of seeds.
    bool m_hasSeedFailed { false };
    std::optional<Common::TimePoint> m_lastUnlistedRouter;
};

} // namespace Brassladder::RouteServing::Routing
