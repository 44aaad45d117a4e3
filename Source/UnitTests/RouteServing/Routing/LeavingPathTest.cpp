// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "UnitTests/RouteServing/Routing/LeavingPath.h"

#include <gtest/gtest.h>

// Guards against requests to an upstream after the bound on its leaving, for each moment at which it may leave and each
// attempt of a read that may be lost.
namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;
using Common::Milliseconds;
using Common::TimePoint;

namespace {

constexpr Milliseconds bounds[] { 1500ms, 2000ms, 3000ms, 4000ms, 5000ms };
constexpr Milliseconds leavingStep { 20 }; // Between two moments that are played.
constexpr Milliseconds settled { 6000 }; // All routers have a list after this time.
constexpr unsigned attemptsPlayed = 9; // Of each reader, from the first one on.

struct Path {
    explicit Path(Milliseconds bound)
        : intervals(RefreshIntervals::within(bound, bound))
        , transit(TransitTimes::within(bound))
        , bound(bound)
    {
        store.responseTime = transit.storeResponse;
    }

    // Plays until long after the leaving, and returns when the list of a router stated it, relative to it.
    Milliseconds play(const std::function<KnownList()>& list)
    {
        while (!list().isLeaving && time.now() < store.leavesAt + 4 * bound)
            time.runUntil(time.now() + 1ms);
        return Common::toMilliseconds(time.now() - store.leavesAt);
    }

    Milliseconds longestDelay() const { return bound - transit.send; }

    VirtualTime time;
    VirtualStore store;
    RefreshIntervals intervals;
    TransitTimes transit;
    Milliseconds bound;
};

// Returns the longest time until a store reader knows of the leaving, over all moments of the leaving.
Milliseconds longestDelayOfReader(Milliseconds bound, const std::set<unsigned>& lostAttempts)
{
    Milliseconds longest { 0 };
    auto interval = RefreshIntervals::within(bound, bound).upstreamInterval;
    for (auto offset = 0ms; offset <= 2 * interval; offset += leavingStep) {
        Path path(bound);
        path.store.lostAttempts = lostAttempts;
        path.store.leavesAt = path.time.now() + 2 * interval + offset + 1ms;
        VirtualReader reader(path.time, path.store, path.intervals);
        reader.readRegularly();
        longest = std::max(longest, path.play([&] { return reader.list(); }));
    }
    return longest;
}

// The hub of a subscriber stops at each moment around the leaving. Own reads of the subscriber lose `lostOwnAttempts`.
Milliseconds longestDelayOfSubscriber(Milliseconds bound, const std::set<unsigned>& lostOwnAttempts)
{
    Milliseconds longest { 0 };
    auto interval = RefreshIntervals::within(bound, bound).upstreamInterval;
    for (auto offset = 0ms; offset <= interval; offset += 2 * leavingStep) {
        for (auto stop = -interval; stop <= bound; stop += 2 * leavingStep) {
            Path path(bound);
            path.store.leavesAt = path.time.now() + settled + offset;
            VirtualStore ownStore = path.store;
            ownStore.lostAttempts = lostOwnAttempts;
            VirtualReader first(path.time, path.store, path.intervals);
            VirtualReader own(path.time, ownStore, path.intervals);
            auto stopsAt = path.store.leavesAt + stop;
            // No other hub can take its place.
            VirtualSubscriber subscriber(
                path.time, own, path.intervals, path.transit.exchange, { { &first, stopsAt } });
            first.setOnChange([&] { path.time.after(path.transit.exchange, [&] { subscriber.onNotification(0); }); });
            first.readRegularly();
            path.time.runUntil(path.time.now() + path.transit.storeResponse);
            subscriber.start();
            longest = std::max(longest, path.play([&] { return subscriber.list(); }));
        }
    }
    return longest;
}

} // namespace

TEST(LeavingPathTest, AStoreReaderKnowsOfALeavingInTime)
{
    for (auto bound : bounds)
        EXPECT_LE(longestDelayOfReader(bound, {}), Path(bound).longestDelay()) << bound.count();
}

TEST(LeavingPathTest, ALostResponseOfTheStoreDoesNotDelayALeavingBeyondItsBound)
{
    for (auto bound : bounds) {
        for (unsigned lost = 0; lost < attemptsPlayed; ++lost)
            EXPECT_LE(longestDelayOfReader(bound, { lost }), Path(bound).longestDelay())
                << bound.count() << ", attempt " << lost;
    }
}

TEST(LeavingPathTest, TwoLostResponsesOfTheStoreDoNotDelayALeavingBeyondItsBound)
{
    for (auto bound : bounds) {
        for (unsigned lost = 0; lost < attemptsPlayed; ++lost)
            EXPECT_LE(longestDelayOfReader(bound, { lost, lost + 1 }), Path(bound).longestDelay())
                << bound.count() << ", attempts from " << lost;
    }
}

TEST(LeavingPathTest, ASubscriberWithoutAnyHubKnowsOfALeavingInTime)
{
    for (auto bound : bounds)
        EXPECT_LE(longestDelayOfSubscriber(bound, {}), Path(bound).longestDelay()) << bound.count();
}

TEST(LeavingPathTest, ASubscriberWithoutAnyHubMayLoseAResponseOfTheStore)
{
    for (auto bound : bounds)
        EXPECT_LE(longestDelayOfSubscriber(bound, { 0 }), Path(bound).longestDelay()) << bound.count();
}

} // namespace Brassladder::RouteServing::Routing
