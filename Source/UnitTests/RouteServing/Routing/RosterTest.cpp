// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/PeerDirectory.h"
#include "RouteServing/Routing/RosterDuty.h"
#include "RouteServing/Routing/StartPhase.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

constexpr Common::TimePoint s_now(1h);
const Common::Endpoint s_self { "127.0.0.1", 1 };
const Common::Endpoint s_old { "127.0.0.1", 2 };
const Common::Endpoint s_new { "127.0.0.1", 3 };

std::vector<std::string> idsOf(const std::vector<RosterEntry>& entries)
{
    std::vector<std::string> ids;
    ids.reserve(entries.size());
    for (const auto& entry : entries)
        ids.push_back(entry.id);
    return ids;
}

} // namespace

TEST(RosterCursorTest, APartIsSentOnceUnlessItIsLost)
{
    RosterCursor cursor;
    EXPECT_EQ(cursor.beginSend(0, 5, s_now), 0U);
    EXPECT_EQ(cursor.beginSend(0, 5, s_now + 100ms), 5U) << "the part may still be in flight";
    EXPECT_EQ(cursor.beginSend(0, 7, s_now + 200ms), 5U) << "only the newer entries";
    EXPECT_EQ(cursor.beginSend(0, 7, s_now + 699ms), 7U);
    EXPECT_EQ(cursor.beginSend(5, 7, s_now + 700ms), 5U) << "what was not acknowledged is lost";
    cursor.forget();
    EXPECT_EQ(cursor.beginSend(0, 7, s_now + 710ms), 0U) << "the connection has ended";
}

TEST(RosterPositionTest, APartIsRecordedOnlyWithoutAGapBeforeIt)
{
    RosterPosition position;
    position.advance(1, 0, 5);
    EXPECT_EQ(position.revisionOf(1), 5U);
    position.advance(1, 7, 9);
    EXPECT_EQ(position.revisionOf(1), 5U) << "the part in between was lost";
    position.advance(1, 3, 9);
    EXPECT_EQ(position.revisionOf(1), 9U);
    position.advance(1, 0, 5);
    EXPECT_EQ(position.revisionOf(1), 9U) << "an old part that arrives late";
    EXPECT_EQ(position.revisionOf(2), 0U) << "another process has its own revisions";
    position.advance(2, 0, 3);
    EXPECT_EQ(position.revisionOf(2), 3U);
}

TEST(PeerDirectoryTest, RosterAfterReturnsEntriesChangedAfterTheRevision)
{
    PeerDirectory peers("self");
    peers.setOwnEndpoint(s_self);
    peers.add({ "a", s_old, 1 });
    peers.addContact("b", s_old);
    EXPECT_EQ(idsOf(peers.rosterAfter(0)), (std::vector<std::string> { "self", "a", "b" }));
    auto revision = peers.rosterRevision();
    EXPECT_TRUE(peers.rosterAfter(revision).empty());
    peers.addContact("a", s_new);
    EXPECT_EQ(peers.rosterAfter(revision), (std::vector<RosterEntry> { { "a", s_new, 1 } }));
}

// Guards against routers that rank the fleet by different capacities.
TEST(PeerDirectoryTest, CapacitiesArePassedOn)
{
    PeerDirectory peers("self");
    peers.setOwnEndpoint(s_self, 500);
    peers.add({ "a", s_old, 1, 120 });
    peers.addContact("b", s_old, 250);
    EXPECT_EQ(peers.rosterAfter(0),
        (std::vector<RosterEntry> { { "self", s_self, 0, 500 }, { "a", s_old, 1, 120 }, { "b", s_old, 0, 250 } }));
    auto revision = peers.rosterRevision();
    EXPECT_FALSE(peers.addContact("b", s_old, 1000)) << "its address is not new";
    EXPECT_EQ(peers.rosterAfter(revision), (std::vector<RosterEntry> { { "b", s_old, 0, 1000 } }));
}

// Two routers with different rosters would otherwise replace an address again and again.
TEST(PeerDirectoryTest, OnlyANewerAnnouncementReplacesAnAddress)
{
    PeerDirectory peers("self");
    EXPECT_TRUE(peers.add({ "p", s_old, 4 }));
    EXPECT_TRUE(peers.addContact("p", s_new)) << "an address that the peer states itself is newer than any roster";
    auto revision = peers.rosterRevision();
    EXPECT_FALSE(peers.add({ "p", s_old, 4 }));
    EXPECT_FALSE(peers.add({ "p", s_old, 0 }));
    EXPECT_EQ(peers.find("p")->endpoint, s_new);
    EXPECT_EQ(peers.rosterRevision(), revision);
    EXPECT_FALSE(peers.add({ "p", s_new, 5 })) << "the announcement has the known address";
    EXPECT_EQ(peers.rosterAfter(revision).size(), 1U) << "other routers need the new version";
    EXPECT_TRUE(peers.add({ "p", s_old, 6 }));
}

TEST(PeerDirectoryTest, ARouterIsAnnouncedWhileThePlatformHasItsPresentAddress)
{
    PeerDirectory peers("self");
    peers.setOwnEndpoint(s_self);
    EXPECT_FALSE(peers.isAnnounced());
    EXPECT_FALSE(peers.add({ "self", s_old, 3 })) << "this router is not its own peer";
    EXPECT_FALSE(peers.isAnnounced()) << "an earlier process had another address";
    peers.add({ "self", s_self, 4 });
    EXPECT_TRUE(peers.isAnnounced());
    peers.add({ "self", s_old, 3 });
    EXPECT_TRUE(peers.isAnnounced());
}

TEST(RosterDutyTest, ARouterAnnouncesItselfOnceAndOnlyStoreReadersRead)
{
    RosterSituation situation;
    situation.awaitsRoster = true;
    EXPECT_EQ(nextRosterStep(situation), RosterStep::Wait) << "a seed may respond";
    situation.awaitsRoster = false;
    EXPECT_EQ(nextRosterStep(situation), RosterStep::Announce) << "no seed responded";
    situation.isAnnounced = true;
    EXPECT_EQ(nextRosterStep(situation), RosterStep::Read);
    situation.isKnown = true;
    EXPECT_EQ(nextRosterStep(situation), RosterStep::Wait);
    situation.isStoreReader = true;
    EXPECT_EQ(nextRosterStep(situation), RosterStep::Read) << "the router has not read the roster itself";
    situation.reads = 1;
    situation.sinceLastRead = rosterInterval(1) - 1ms;
    EXPECT_EQ(nextRosterStep(situation), RosterStep::Wait);
    situation.sinceLastRead = rosterInterval(1);
    EXPECT_EQ(nextRosterStep(situation), RosterStep::Read);
    situation.isAnnounced = false;
    situation.isStoreReader = false;
    EXPECT_EQ(nextRosterStep(situation), RosterStep::Announce)
        << "the roster is known, but the platform does not have the address of this router";
}

TEST(RosterDutyTest, TheIntervalBetweenReadsDoublesUpToItsMaximum)
{
    EXPECT_EQ(rosterInterval(1), 1000ms);
    EXPECT_EQ(rosterInterval(2), 2000ms);
    EXPECT_EQ(rosterInterval(3), 4000ms);
    EXPECT_EQ(rosterInterval(4), 6000ms);
    EXPECT_EQ(rosterInterval(400), 6000ms);
}

TEST(StartPhaseTest, WithoutSeedsTheRosterIsNotAwaited)
{
    StartPhase start({ {}, true }, s_now, 0.5);
    start.setOwnEndpoint(s_self);
    EXPECT_FALSE(start.awaitsRoster(s_now));
    EXPECT_FALSE(start.seedToQuery());
}

TEST(StartPhaseTest, SeedsAreQueriedInTurnForALimitedTime)
{
    StartPhase start({ { s_old, s_new } }, s_now, 0);
    start.setOwnEndpoint(s_self);
    EXPECT_TRUE(start.awaitsRoster(s_now));
    EXPECT_EQ(start.seedToQuery(), s_old);
    start.recordSeedFailure();
    EXPECT_EQ(start.seedToQuery(), s_new);
    start.recordSeedFailure();
    EXPECT_EQ(start.seedToQuery(), s_old);
    EXPECT_TRUE(start.awaitsRoster(s_now + StartPhase::rosterTimeout - 1ms));
    EXPECT_FALSE(start.awaitsRoster(s_now + StartPhase::rosterTimeout));
    StartPhase later({ { s_old, s_new } }, s_now, 0.99);
    EXPECT_TRUE(later.awaitsRoster(s_now + StartPhase::rosterTimeout + StartPhase::rosterTimeoutJitter / 2))
        << "the jitter adds up to rosterTimeoutJitter";
}

// Requests cannot be served before the first state, so a router does not wait for it after a seed has failed.
TEST(StartPhaseTest, TheFirstStateIsAwaitedOnlyUntilASeedFails)
{
    StartPhase start({ { s_old, s_new } }, s_now, 0);
    start.setOwnEndpoint(s_self);
    EXPECT_TRUE(start.awaitsState(s_now));
    EXPECT_FALSE(start.awaitsState(s_now + StartPhase::firstStateTimeout));
    start.recordSeedFailure();
    EXPECT_FALSE(start.awaitsState(s_now)) << "the router reads the store instead";
    EXPECT_TRUE(start.awaitsRoster(s_now)) << "callers do not wait for the roster";
}

TEST(StartPhaseTest, AtTheFleetsFirstStartTheStateIsAwaitedAsLongAsTheRoster)
{
    StartPhase start({ { s_old, s_new }, true }, s_now, 0);
    start.setOwnEndpoint(s_self);
    start.recordSeedFailure();
    EXPECT_TRUE(start.awaitsState(s_now + StartPhase::rosterTimeout - 1ms));
    EXPECT_FALSE(start.awaitsState(s_now + StartPhase::rosterTimeout));
}

TEST(StartPhaseTest, ASeedDoesNotAwaitARoster)
{
    StartPhase start({ { s_self, s_old }, true }, s_now, 0);
    start.setOwnEndpoint(s_self);
    EXPECT_FALSE(start.awaitsRoster(s_now));
    EXPECT_TRUE(start.isSettled(s_now));
    start.recordUnlistedRouter(s_now + 100ms);
    EXPECT_FALSE(start.isSettled(s_now + 299ms)) << "more routers may appear";
    EXPECT_TRUE(start.isSettled(s_now + 300ms));
    start.recordUnlistedRouter(s_now + 1100ms);
    EXPECT_TRUE(start.isSettled(s_now + 1150ms)) << "after the roster timeout, the roster counts as complete";
}

} // namespace Brassladder::RouteServing::Routing
