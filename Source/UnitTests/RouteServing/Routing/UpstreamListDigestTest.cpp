// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/UpstreamRegistry.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

namespace {

UpstreamRecord upstream(size_t number, bool leaving = false)
{
    return { "u" + std::to_string(number), "shop", { "127.0.0.1", 1 }, "north", 6, leaving };
}

std::vector<UpstreamRecord> manyUpstreams(size_t count)
{
    std::vector<UpstreamRecord> records;
    for (size_t number = 0; number < count; ++number)
        records.push_back(upstream(number));
    return records;
}

std::vector<UpstreamRecord> arbitraryList()
{
    std::vector<UpstreamRecord> records;
    for (size_t number = 0; number < 6; ++number) {
        if (*rc::gen::inRange(0, 3) > 0)
            records.push_back(upstream(number, *rc::gen::inRange(0, 4) == 0));
    }
    return records;
}

// Brings `receiver` to the list of `sender` as routers do. Returns the number of entries that were sent.
size_t synchronize(const UpstreamRegistry& sender, UpstreamRegistry& receiver)
{
    if (receiver.receivedDigest() == sender.digest())
        return 0;
    auto changes = sender.changesSince(receiver.receivedDigest());
    if (!changes) {
        auto list = sender.upstreams();
        auto sent = list.size();
        receiver.setUpstreams(std::move(list));
        return sent;
    }
    auto sent = changes->changed.size() + changes->removed.size();
    receiver.applyChanges(std::move(*changes));
    return sent;
}

} // namespace

// Guards against messages that grow with the list: a fleet of a thousand routers would spend its links on copies of the
// list, because some upstream changes every second.
TEST(UpstreamListDigestTest, AChangeOfOneUpstreamIsSentAsOneEntryAtAnySize)
{
    for (size_t size : { 30U, 300U, 3000U }) {
        UpstreamRegistry sender("north");
        UpstreamRegistry receiver("north");
        auto list = manyUpstreams(size);
        sender.setUpstreams(list);
        EXPECT_EQ(synchronize(sender, receiver), size);
        EXPECT_EQ(synchronize(sender, receiver), 0U);
        list[size / 2].leaving = true;
        sender.setUpstreams(list);
        EXPECT_EQ(synchronize(sender, receiver), 1U);
        list.pop_back();
        sender.setUpstreams(list);
        EXPECT_EQ(synchronize(sender, receiver), 1U);
        EXPECT_EQ(receiver.upstreams(), sender.upstreams());
    }
}

// Guards against a receiver whose list differs from the one that it reports.
TEST(UpstreamListDigestTest, AnySequenceOfListsIsReceivedAlthoughMessagesAreLost)
{
    EXPECT_TRUE(rc::check([] {
        UpstreamRegistry sender("north");
        UpstreamRegistry relay("north");
        UpstreamRegistry receiver("north");
        for (int round = *rc::gen::inRange(1, 12); round > 0; --round) {
            sender.setUpstreams(arbitraryList());
            if (*rc::gen::arbitrary<bool>())
                synchronize(sender, relay);
            if (*rc::gen::arbitrary<bool>())
                synchronize(relay, receiver);
        }
        synchronize(sender, relay);
        synchronize(relay, receiver);
        RC_ASSERT(relay.receivedDigest() == sender.digest());
        RC_ASSERT(receiver.receivedDigest() == relay.digest());
        RC_ASSERT(receiver.upstreams() == relay.upstreams());
    }));
}

// Guards against a difference to another list than the receiver's.
TEST(UpstreamListDigestTest, AnUnknownOrForgottenListIsReplacedWhole)
{
    UpstreamRegistry sender("north");
    sender.setUpstreams(manyUpstreams(10));
    auto first = sender.digest();
    sender.setUpstreams(manyUpstreams(11));
    EXPECT_TRUE(sender.changesSince(first));
    EXPECT_FALSE(sender.changesSince(first + 1));
    EXPECT_FALSE(sender.changesSince(0)) << "0 stands for a router without a list";
    sender.setUpstreams(manyUpstreams(4000));
    EXPECT_FALSE(sender.changesSince(first)) << "more changes than are remembered";
}

// A cold upstream's remaining time differs at each router, so it must not make their lists differ.
TEST(UpstreamListDigestTest, OnlyTheStartAndTheEndOfAColdPeriodChangeTheList)
{
    UpstreamListDigest digest;
    auto record = upstream(1);
    EXPECT_TRUE(digest.set(record));
    record.coldUntil = Common::TimePoint(1h);
    EXPECT_TRUE(digest.set(record));
    record.coldUntil += 1s;
    EXPECT_FALSE(digest.set(record));
    record.coldUntil = {};
    EXPECT_TRUE(digest.set(record));
    record.evacuated = true;
    EXPECT_TRUE(digest.set(record));
}

} // namespace Brassladder::RouteServing::Routing
