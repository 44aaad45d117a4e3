// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/Compression.h"
#include "Common/Digest.h"
#include "Inner/FrameCodec.h"
#include "RouteServing/Gateway/SnapshotCodec.h"
#include "RouteServing/Routing/FreshnessLease.h"

#include <gtest/gtest.h>
#include <limits>

namespace Brassladder::RouteServing::Gateway {

using namespace std::chrono_literals;

// Guards against an overflow: after 49 days of uptime, a lease that was never confirmed would appear to be recent.
TEST(SnapshotCodecTest, AnAgeOutOfRangeIsClamped)
{
    EXPECT_EQ(encodeAge(1234ms), 1234U);
    EXPECT_EQ(encodeAge(24h * 60), std::numeric_limits<uint32_t>::max());
    EXPECT_EQ(encodeAge(-5ms), 0U);
}

static constexpr Common::TimePoint s_now(1h);

TEST(SnapshotCodecTest, LoadsAndUpstreamsSurviveEncoding)
{
    Routing::LoadsByUpstream loads { { 7, { 3, 1, 900 } }, { 8, {} } };
    Inner::Wire::Knowledge message;
    encodeLoads(loads, *message.mutable_loads());
    auto read = decodeLoads(message.loads());
    ASSERT_EQ(read.size(), 1U) << "upstreams without requests are omitted";
    EXPECT_EQ(read[7].prefillTokens, 900U);
    message.mutable_loads()->add_upstreams(9);
    EXPECT_TRUE(decodeLoads(message.loads()).empty()) << "columns of different lengths are rejected";

    EXPECT_FALSE(decodeUpstreams(message, s_now)) << "a missing list must not decode to an empty one";
    message.set_has_upstreams(true);
    Routing::UpstreamRecord record { "u1", "shop", { "127.0.0.1", 9 }, "north", 6, true };
    record.softwareVersion = "v1";
    encodeUpstream(record, s_now, *message.add_upstreams());
    message.add_upstreams()->set_endpoint("nowhere");
    EXPECT_EQ(decodeUpstreams(message, s_now), std::vector { record });
}

// Guards against a sum in which tokens of an earlier router, which states no rates, count as none at all, and against
// a report without rates that is rejected.
TEST(SnapshotCodecTest, PrefillRatesSurviveEncodingAndTokensOfEarlierRoutersAreKept)
{
    Routing::LoadsByUpstream rated { { 7, { 3, 1, 900, 1800, 0 } } };
    Inner::Wire::LoadTable table;
    encodeLoads(rated, table);
    EXPECT_EQ(decodeLoads(table)[7].prefillRate, 1800U);
    EXPECT_EQ(decodeLoads(table)[7].unratedPrefillTokens, 0U);

    table.clear_unread_rates();
    auto unrated = decodeLoads(table);
    EXPECT_EQ(unrated[7].prefillRate, 0U);
    EXPECT_EQ(unrated[7].unratedPrefillTokens, 900U);

    Inner::Wire::LoadTable onlyUnrated;
    encodeLoads(unrated, onlyUnrated);
    EXPECT_EQ(decodeLoads(onlyUnrated)[7].unratedPrefillTokens, 900U);

    Routing::addLoads(unrated, rated);
    Inner::Wire::LoadTable mixed;
    encodeLoads(unrated, mixed);
    EXPECT_EQ(decodeLoads(mixed)[7].prefillRate, 3600U) << "estimated from the rated tokens";
    EXPECT_EQ(decodeLoads(mixed)[7].prefillTokens, 1800U);

    mixed.add_unread_rates(1);
    EXPECT_TRUE(decodeLoads(mixed).empty()) << "columns of different lengths are rejected";
}

// 3,000 entries of realistic ids and addresses take about 300 KB uncompressed.
TEST(SnapshotCodecTest, APackedUpstreamListRoundTripsAndIsCompact)
{
    std::vector<Routing::UpstreamRecord> records;
    for (uint64_t index = 0; index < 3000; ++index) {
        auto id = "i-" + std::to_string(Common::stableHash("id", index)).substr(0, 10);
        Common::Endpoint endpoint { "10." + std::to_string(1 + index % 3) + ".64." + std::to_string(index % 250),
            8385 };
        records.push_back({ id, "huvo11a", endpoint, "bilbao", 64, index % 7 == 0, 1'784'554'830'000 + index, true });
    }
    Inner::Wire::Knowledge message;
    message.set_has_upstreams(true);
    message.set_packed_upstreams(packUpstreams(records, s_now));
    EXPECT_EQ(decodeUpstreams(message, s_now), records);
    EXPECT_LT(message.packed_upstreams().size(), 60'000U);
    message.set_packed_upstreams(message.packed_upstreams().substr(0, 1000));
    EXPECT_FALSE(decodeUpstreams(message, s_now)) << "an unreadable list must not decode to an empty one";
    message.set_packed_upstreams(packUpstreams({}, s_now));
    EXPECT_EQ(decodeUpstreams(message, s_now)->size(), 0U);
}

TEST(SnapshotCodecTest, PlainAndPackedConfigurationsAreDecoded)
{
    Inner::Wire::Knowledge message;
    EXPECT_EQ(valueOf(decodeConfiguration(message)), "") << "the message carries no configuration";
    message.set_configuration("plain");
    EXPECT_EQ(valueOf(decodeConfiguration(message)), "plain");
    message.clear_configuration();
    message.set_packed_configuration(Common::deflate("packed"));
    EXPECT_EQ(valueOf(decodeConfiguration(message)), "packed");
    message.set_packed_configuration("damaged");
    EXPECT_TRUE(isError(decodeConfiguration(message)));
    message.set_packed_configuration(Common::deflate(std::string(Inner::maxFrameBytes + 1, 'x')));
    EXPECT_TRUE(isError(decodeConfiguration(message))) << "the decompressed size exceeds the frame limit";
}

// Guards against routers that mistake "never confirmed" for a stale state and read the store instead of waiting for
// their hub.
TEST(SnapshotCodecTest, ANeverConfirmedAgeDecodesToTheEarliestTime)
{
    Common::TimePoint now(1h);
    EXPECT_EQ(decodeAge(encodeAge(1500ms), now), now - 1500ms);
    EXPECT_EQ(decodeAge(encodeAge(Routing::FreshnessLease(1s).age(now)), now), Common::TimePoint::min());
}

TEST(SnapshotCodecTest, TheRosterRoundTrips)
{
    std::vector<Routing::RosterEntry> entries { { "r1", { "127.0.0.1", 7 }, 3, 120 }, { "r2", { "127.0.0.2", 8 }, 0 } };
    EXPECT_EQ(decodeRoster(encodeRoster(entries)), entries);
    EXPECT_TRUE(decodeRoster("").empty());
    EXPECT_TRUE(decodeRoster("damaged").empty());
}

// A starting router must not saturate its seed's link with the roster.
TEST(SnapshotCodecTest, ALargeRosterIsEncodedCompactly)
{
    std::vector<Routing::RosterEntry> entries;
    for (unsigned index = 0; index < 300; ++index)
        entries.push_back({ "edge-santander-" + std::to_string(index),
            { "10.2.0." + std::to_string(index % 256), 8384 }, index + 1 });
    EXPECT_LT(encodeRoster(entries).size(), 5000U);
}

} // namespace Brassladder::RouteServing::Gateway
