// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/Digest.h"
#include "RouteServing/Routing/FleetMember.h"

#include <gtest/gtest.h>
#include <memory>
#include <set>

// Simulates the start of many routers on virtual time; messages and the store respond at once. Checks how many calls to
// the platform's store a start takes, and that each router gets the complete roster.
namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_start(1h);
constexpr Common::Milliseconds s_stepInterval { 100 }; // The same as PeerExchange's.
constexpr Common::Milliseconds s_tick { 10 };
constexpr Common::Milliseconds s_startSpread { 300 }; // All routers start within this.

// The roster on the platform; counts how often it is used.
struct RosterStore {
    std::map<std::string, RosterEntry> entries;
    uint64_t end { 0 };
    size_t announcements { 0 };
    size_t reads { 0 };

    void announce(const std::string& id, const Common::Endpoint& endpoint)
    {
        ++announcements;
        entries[id] = { id, endpoint, ++end };
    }
    std::vector<RosterEntry> changedAfter(uint64_t version)
    {
        ++reads;
        std::vector<RosterEntry> changed;
        for (const auto& [id, entry] : entries) {
            if (entry.version > version)
                changed.push_back(entry);
        }
        return changed;
    }
};

struct Router {
    Router(size_t index, const std::vector<Common::Endpoint>& seeds, Common::TimePoint at)
        : id("r" + std::to_string(index))
        , endpoint { "127.0.0.1", static_cast<uint16_t>(index + 1) }
        , started(at)
        , incarnation(Common::stableHash(id, static_cast<uint64_t>(at.time_since_epoch().count())))
        , member(id, { seeds }, at, static_cast<double>(index % 7) / 7)
    {
        member.setOwnEndpoint(endpoint, at);
    }

    std::string id;
    Common::Endpoint endpoint;
    Common::TimePoint started;
    uint64_t incarnation;
    FleetMember member;
    uint64_t readUpTo { 0 };
    unsigned reads { 0 };
    Common::TimePoint lastRead {};
};

class SimulatedFleet {
public:
    SimulatedFleet(size_t count, size_t seedCount)
        : m_count(count)
    {
        for (size_t index = 0; index < seedCount; ++index)
            m_seeds.push_back({ "127.0.0.1", static_cast<uint16_t>(index + 1) });
    }

    // Restarts all routers within s_startSpread, without their earlier state.
    void startAll(Common::TimePoint at)
    {
        m_routers.clear();
        for (size_t index = 0; index < m_count; ++index)
            m_routers.push_back(std::make_unique<Router>(index, m_seeds, at + s_startSpread * (index % 31) / 31));
    }
    void startOne(size_t index, Common::TimePoint at)
    {
        m_routers[index] = std::make_unique<Router>(index, m_seeds, at);
    }
    void end(size_t index) { m_routers[index].reset(); }

    void run(Common::TimePoint from, Common::Milliseconds length)
    {
        for (auto now = from; now < from + length; now += s_tick) {
            for (size_t index = 0; index < m_routers.size(); ++index) {
                auto phase = s_tick * (index % (s_stepInterval / s_tick));
                if (isRunning(index, now) && (now - s_start - phase) % s_stepInterval == 0s)
                    step(*m_routers[index], now);
            }
        }
    }

    // Whether each router has the complete roster, and there are as many hubs and store readers as expected.
    bool isComplete() const
    {
        size_t hubs = 0;
        size_t readers = 0;
        for (const auto& router : m_routers) {
            if (router->member.fleetSize() != m_count)
                return false;
            hubs += router->member.isHub();
            readers += router->member.readsStore();
        }
        return hubs == HubRanking::hubCount(m_count) && readers == HubRanking::storeReaderCount(m_count);
    }
    const FleetMember& member(size_t index) const { return m_routers[index]->member; }

    RosterStore store;
    size_t entriesSent { 0 }; // Roster entries in all messages.

private:
    bool isRunning(size_t index, Common::TimePoint now) const
    {
        return m_routers[index] && now >= m_routers[index]->started;
    }

    Router* at(const Common::Endpoint& endpoint, Common::TimePoint now)
    {
        auto index = static_cast<size_t>(endpoint.port) - 1;
        return isRunning(index, now) ? m_routers[index].get() : nullptr;
    }

    void step(Router& router, Common::TimePoint now)
    {
        auto& member = router.member;
        member.handleOverdueHub(now);
        auto target = member.update(now);
        if (target.seed)
            requestRoster(router, target.seed->id, target.seed->endpoint, now);
        else if (const auto& source = target.ranking.source())
            requestRoster(router, *source, member.peers().find(*source)->endpoint, now);
        stepStore(router, now);
    }

    void requestRoster(Router& router, const std::string& id, const Common::Endpoint& endpoint, Common::TimePoint now)
    {
        auto& member = router.member;
        auto nonce = member.outstanding().add(id, member.isHub(), now);
        auto* peer = at(endpoint, now);
        if (!peer) {
            if (member.queriedSeed())
                member.recordSeedFailure();
            return;
        }
        peer->member.addContact(router.id, router.endpoint, now);
        auto& state = peer->member.peers().state(router.id);
        state.recordContact(router.incarnation);
        auto known = member.rosterPosition(id).revisionOf(peer->incarnation);
        auto newest = peer->member.peers().rosterRevision();
        auto after = state.rosterSent.beginSend(known, newest, now);
        auto entries = peer->member.peers().rosterAfter(after);
        entriesSent += entries.size();
        member.addRoster(entries);
        member.recordRosterPart(peer->id, peer->incarnation, { after, newest, peer->member.hasCompleteRoster(now) });
        member.outstanding().complete(id, *nonce);
    }

    void stepStore(Router& router, Common::TimePoint now)
    {
        auto situation = router.member.rosterSituation(now);
        situation.reads = router.reads;
        if (router.reads)
            situation.sinceLastRead = Common::toMilliseconds(now - router.lastRead);
        switch (nextRosterStep(situation)) {
        case RosterStep::Wait:
            return;
        case RosterStep::Announce:
            store.announce(router.id, router.endpoint);
            return router.member.recordAnnounced();
        case RosterStep::Read:
            router.member.addRoster(store.changedAfter(router.readUpTo));
            router.member.recordRosterRead();
            router.readUpTo = store.end;
            ++router.reads;
            router.lastRead = now;
        }
    }

    size_t m_count;
    std::vector<Common::Endpoint> m_seeds;
    std::vector<std::unique_ptr<Router>> m_routers;
};

constexpr size_t s_seeds = 3;
constexpr Common::Milliseconds s_runLength { 12'000 };
// Each store reader reads four times in a run (RosterDuty). A seed is a store reader until it has received the roster,
// so it reads at most four times too.
constexpr size_t s_maxReadsPerRun = (3 + s_seeds) * 4;

} // namespace

// Guards against reads of the roster that grow with the fleet: by each starting router, or by all hubs.
TEST(FleetStartTest, AFirstStartNeedsOneAnnouncementPerRouterAndAFewReads)
{
    for (size_t count : { 30, 100, 300 }) {
        SimulatedFleet fleet(count, s_seeds);
        fleet.startAll(s_start);
        fleet.run(s_start, s_runLength);
        EXPECT_TRUE(fleet.isComplete()) << count;
        EXPECT_EQ(fleet.store.announcements, count);
        EXPECT_LE(fleet.store.reads, s_maxReadsPerRun) << count << " routers: reads do not grow with the fleet";
        EXPECT_LE(fleet.entriesSent, 8 * count * count) << "each router receives each entry a few times";
    }
}

// The platform still has all addresses.
TEST(FleetStartTest, ARestartOfAllRoutersAtTheirOldAddressesCostsOnlyAFewReads)
{
    static constexpr size_t count = 300;
    SimulatedFleet fleet(count, s_seeds);
    fleet.startAll(s_start);
    fleet.run(s_start, s_runLength);
    fleet.store.announcements = fleet.store.reads = 0;
    fleet.startAll(s_start + s_runLength);
    fleet.run(s_start + s_runLength, 1000ms);
    EXPECT_TRUE(fleet.isComplete()) << "after one second all have their roles again";
    fleet.run(s_start + s_runLength + 1000ms, s_runLength - 1000ms);
    EXPECT_TRUE(fleet.isComplete());
    EXPECT_LE(fleet.store.announcements, s_seeds) << "seeds announce themselves before they receive the roster";
    EXPECT_LE(fleet.store.reads, s_maxReadsPerRun);
}

TEST(FleetStartTest, AReplacedRouterReceivesTheRosterWithoutReadingTheStore)
{
    static constexpr size_t count = 100;
    SimulatedFleet fleet(count, s_seeds);
    fleet.startAll(s_start);
    fleet.run(s_start, s_runLength);
    auto reads = fleet.store.reads;
    fleet.startOne(50, s_start + s_runLength);
    fleet.run(s_start + s_runLength, 500ms);
    EXPECT_EQ(fleet.member(50).fleetSize(), count);
    EXPECT_LE(fleet.store.reads, reads + 3);
}

// The settings may be outdated: no seed is running.
// Guards against a store that is slow for all because all routers of a large fleet read it at once when the store
// readers are late.
TEST(FleetStartTest, InALargeFleetOnlyHubsReadAStaleState)
{
    for (size_t count : { 30U, 300U, 600U, 1000U }) {
        SimulatedFleet fleet(count, s_seeds);
        fleet.startAll(s_start);
        fleet.run(s_start, 4s);
        ASSERT_TRUE(fleet.isComplete()) << count;
        auto now = s_start + 4s;
        size_t readers = 0;
        for (size_t index = 0; index < count; ++index) {
            auto member = fleet.member(index);
            EXPECT_FALSE(member.leavesReadingToHub(now)) << "its hub has never responded";
            member.recordHubResponse(now);
            readers += !member.leavesReadingToHub(now + 1s);
            EXPECT_FALSE(member.leavesReadingToHub(now + 2s)) << "its hub does not respond any more";
        }
        EXPECT_EQ(readers, count <= 300 ? count : HubRanking::hubCount(count));
    }
}

TEST(FleetStartTest, WithoutAReachableSeedTheStoreIsRead)
{
    static constexpr size_t count = 30;
    SimulatedFleet fleet(count, s_seeds);
    fleet.startAll(s_start);
    fleet.run(s_start, s_runLength);
    for (size_t seed = 0; seed < s_seeds; ++seed)
        fleet.end(seed);
    fleet.startOne(20, s_start + s_runLength);
    fleet.run(s_start + s_runLength, StartPhase::rosterTimeout + StartPhase::rosterTimeoutJitter + 3 * s_stepInterval);
    EXPECT_EQ(fleet.member(20).fleetSize(), count);
}

TEST(FleetStartTest, WithoutSeedsEachStartReadsTheStoreOnce)
{
    static constexpr size_t count = 100;
    SimulatedFleet fleet(count, 0);
    fleet.startAll(s_start);
    fleet.run(s_start, s_runLength);
    EXPECT_TRUE(fleet.isComplete());
    EXPECT_EQ(fleet.store.announcements, count);
    EXPECT_LE(fleet.store.reads, count + s_maxReadsPerRun);
}

} // namespace Brassladder::RouteServing::Routing
