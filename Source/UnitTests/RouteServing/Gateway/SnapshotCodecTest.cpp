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

// Found on reading: with an uptime of over 49 days, a lease that was never confirmed would have been told as fresh.
TEST(SnapshotCodecTest, AnAgeOutOfRangeIsClamped)
{
    EXPECT_EQ(encodeAge(1234ms), 1234U);
    EXPECT_EQ(encodeAge(24h * 60), std::numeric_limits<uint32_t>::max());
    EXPECT_EQ(encodeAge(-5ms), 0U);
}

TEST(SnapshotCodecTest, LoadsAndUpstreamsSurviveEncoding)
{
    Routing::LoadsByUpstream loads { { 7, { 3, 1, 900 } }, { 8, {} } };
    Inner::Wire::Knowledge message;
    encodeLoads(loads, *message.mutable_loads());
    auto read = decodeLoads(message.loads());
    ASSERT_EQ(read.size(), 1U) << "an upstream without requests is left out";
    EXPECT_EQ(read[7].prefillTokens, 900U);
    message.mutable_loads()->add_upstreams(9);
    EXPECT_TRUE(decodeLoads(message.loads()).empty()) << "a row that lacks its numbers";

    EXPECT_FALSE(decodeUpstreams(message)) << "no list is not an empty list";
    message.set_has_upstreams(true);
    Routing::UpstreamRecord record { "u1", "shop", { "127.0.0.1", 9 }, "north", 6, true };
    encodeUpstream(record, *message.add_upstreams());
    message.add_upstreams()->set_endpoint("nowhere");
    EXPECT_EQ(decodeUpstreams(message), std::vector { record });
}

// 3,000 entries as the users' platform names them: 300 KB plain.
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
    message.set_packed_upstreams(packUpstreams(records));
    EXPECT_EQ(decodeUpstreams(message), records);
    EXPECT_LT(message.packed_upstreams().size(), 60'000U);
    message.set_packed_upstreams(message.packed_upstreams().substr(0, 1000));
    EXPECT_FALSE(decodeUpstreams(message)) << "an unreadable list is not an empty one";
    message.set_packed_upstreams(packUpstreams({}));
    EXPECT_EQ(decodeUpstreams(message)->size(), 0U);
}

TEST(SnapshotCodecTest, PlainAndPackedConfigurationsAreDecoded)
{
    Inner::Wire::Knowledge message;
    EXPECT_EQ(valueOf(decodeConfiguration(message)), "") << "it carries none";
    message.set_configuration("plain");
    EXPECT_EQ(valueOf(decodeConfiguration(message)), "plain");
    message.clear_configuration();
    message.set_packed_configuration(Common::deflate("packed"));
    EXPECT_EQ(valueOf(decodeConfiguration(message)), "packed");
    message.set_packed_configuration("damaged");
    EXPECT_TRUE(isError(decodeConfiguration(message)));
    message.set_packed_configuration(Common::deflate(std::string(Inner::maxFrameBytes + 1, 'x')));
    EXPECT_TRUE(isError(decodeConfiguration(message))) << "few bytes that would fill the memory";
}

// A router that took it for a confirmation of long ago read the store at once, instead of waiting for its hub.
TEST(SnapshotCodecTest, ANeverConfirmedAgeDecodesToTheEarliestTime)
{
    Common::TimePoint now(1h);
    EXPECT_EQ(decodeAge(encodeAge(1500ms), now), now - 1500ms);
    EXPECT_EQ(decodeAge(encodeAge(Routing::FreshnessLease(1s).age(now)), now), Common::TimePoint::min());
}

TEST(SnapshotCodecTest, TheRosterRoundTrips)
{
    std::vector<Routing::RosterEntry> entries { { "r1", { "127.0.0.1", 7 }, 3 }, { "r2", { "127.0.0.2", 8 }, 0 } };
    EXPECT_EQ(decodeRoster(encodeRoster(entries)), entries);
    EXPECT_TRUE(decodeRoster("").empty());
    EXPECT_TRUE(decodeRoster("damaged").empty());
}

// Ids and addresses are much alike: a router that starts must not fill its seed's link.
TEST(SnapshotCodecTest, ALargeRosterIsEncodedCompactly)
{
    std::vector<Routing::RosterEntry> entries;
    for (unsigned index = 0; index < 300; ++index)
        entries.push_back({ "edge-santander-" + std::to_string(index),
            { "10.2.0." + std::to_string(index % 256), 8384 }, index + 1 });
    EXPECT_LT(encodeRoster(entries).size(), 5000U);
}

} // namespace Brassladder::RouteServing::Gateway
