// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Duties/DutyRecord.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Duties {

TEST(DutyRecordTest, EncodedRecordsDecodeToTheSameValue)
{
    const std::vector<DutyRecord> records { LeaseRecord { "edge-1", ~0ULL, 12, false, 353 },
        LeaseRecord { "edge-1", 7, 12, true, 353 }, WindowRecord { 12, 353'445'120, { { "blue", 4 }, { "red", 0 } } },
        WindowRecord { 1, 0, {} } };
    for (const auto& record : records)
        EXPECT_EQ(decode(keyOf(record), encode(record)), record);
}

TEST(DutyRecordTest, WindowReusesTheKeyOfAnOlderWindow)
{
    EXPECT_EQ(keyOf(WindowRecord { 1, 5, {} }), keyOf(WindowRecord { 1, 5 + maxLoggedWindows, {} }));
    EXPECT_NE(keyOf(WindowRecord { 1, 5, {} }), keyOf(WindowRecord { 1, 6, {} }));
}

TEST(DutyRecordTest, MalformedRecordsAreRejected)
{
    for (const char* text : { "", "null", "[]", "{}", "7", "\xff\xfe", R"({"holder":"a"})",
             R"({"holder":7,"incarnation":1,"token":1,"first_unreported":0})",
             R"({"holder":"","incarnation":1,"token":1,"first_unreported":0})",
             R"({"holder":"a","incarnation":-1,"token":1,"first_unreported":0})",
             R"({"holder":"a","incarnation":1,"token":1.5,"first_unreported":0})" })
        EXPECT_FALSE(decode("lease", text)) << text;
    for (const char* text : { "{}", R"({"token":1,"window":2})", R"({"token":1,"window":2,"counts":[]})",
             R"({"token":1,"window":2,"counts":{"a":-1}})", R"({"token":1,"window":2,"counts":{"a":"1"}})",
             R"({"token":1,"window":3,"counts":{}})" })
        EXPECT_FALSE(decode("window.2", text)) << text;
    EXPECT_FALSE(decode("other", R"({"token":1,"window":2,"counts":{}})"));
}

} // namespace Brassladder::RouteServing::Duties
