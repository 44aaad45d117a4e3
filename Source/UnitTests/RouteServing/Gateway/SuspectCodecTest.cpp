// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/SuspectCodec.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;
using Routing::SuspectRecord;
using Routing::Suspicion;

namespace {

constexpr Common::TimePoint s_now(5h);

SuspectRecord heldRequest()
{
    SuspectRecord record;
    record.request = { 1, 2, { 3, 4 } };
    record.workspace = "w";
    record.target = "/x?q=1";
    for (int crash = 0; crash < 3; ++crash) {
        auto sent = s_now - 10s + crash * 1s;
        Routing::addRun(record, { { "a", static_cast<uint64_t>(crash) }, "r", sent, sent + 500ms });
    }
    Routing::countTrial(record, s_now - 1s);
    return record;
}

} // namespace

TEST(SuspectCodecTest, ADecodedSuspectKeepsItsAge)
{
    Inner::Wire::SuspectTable table;
    std::vector<SuspectRecord> records { heldRequest() };
    encodeSuspects(records, table, s_now);
    // The receiver's steady clock is unrelated to the sender's.
    auto received = decodeSuspects(table, s_now + 100h);
    ASSERT_EQ(received.size(), 1U);
    const auto& record = received.front();
    EXPECT_EQ(record.request, heldRequest().request);
    EXPECT_EQ(record.workspace, "w");
    EXPECT_EQ(record.target, "/x?q=1");
    EXPECT_EQ(record.runs.size(), 3U);
    EXPECT_EQ(record.runs.back().ended, s_now + 100h - 7500ms);
    EXPECT_EQ(record.trials, 1U);
    EXPECT_EQ(record.lastTrial, s_now + 100h - 1s);
    EXPECT_EQ(Routing::suspicionOf(record, s_now + 100h), Suspicion::Held);
}

TEST(SuspectCodecTest, APartOfAPromptKeepsItsIdentityAndThatItHasCompleted)
{
    auto part = heldRequest();
    part.request = Routing::RequestIdentity::ofPromptPart("model", "v1", 7);
    part.hasCompleted = true;
    Inner::Wire::SuspectTable table;
    encodeSuspects(std::span(&part, 1), table, s_now);
    // An earlier router passes the entry on without the field.
    auto passedOn = table;
    passedOn.mutable_suspects(0)->clear_has_completed();
    for (const auto& [received, hasCompleted] : { std::pair(table, true), std::pair(passedOn, false) }) {
        auto records = decodeSuspects(received, s_now);
        ASSERT_EQ(records.size(), 1U);
        EXPECT_TRUE(records.front().request.isPromptPart());
        EXPECT_EQ(records.front().request, part.request);
        EXPECT_EQ(records.front().hasCompleted, hasCompleted);
        EXPECT_EQ(records.front().runs.size(), 3U);
    }
}

TEST(SuspectCodecTest, AnEmptyEntryIsLeftOut)
{
    Inner::Wire::SuspectTable table;
    table.add_suspects()->set_workspace("w");
    EXPECT_TRUE(decodeSuspects(table, s_now).empty());
}

TEST(SuspectCodecTest, AStoredSuspectAgesByTheTimeOfDay)
{
    StoredSuspect stored { heldRequest(), "g1", 2'000'000ms };
    auto bytes = encodeStoredSuspect(stored, { s_now, 1'000'000ms });
    // Decodes it a minute later in another process, whose steady clock started with that process.
    auto read = decodeStoredSuspect(bytes, { Common::TimePoint(3s), 1'060'000ms });
    ASSERT_TRUE(read);
    EXPECT_EQ(read->claimedBy, "g1");
    EXPECT_EQ(read->claimedUntil, 2'000'000ms);
    EXPECT_EQ(read->record.runs.back().ended, Common::TimePoint(3s) - 67'500ms);
    EXPECT_EQ(Routing::suspicionOf(read->record, Common::TimePoint(3s)), Suspicion::Held);
    // The system clock was set back after the write.
    auto early = decodeStoredSuspect(bytes, { s_now, 990'000ms });
    ASSERT_TRUE(early);
    EXPECT_EQ(early->record.runs.back().ended, s_now - 7500ms);
    EXPECT_FALSE(decodeStoredSuspect("no such record", { s_now, 1'000'000ms }));
}

} // namespace Brassladder::RouteServing::Gateway
