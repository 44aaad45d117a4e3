// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Routing/RevisionCursor.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Routing {

using namespace std::chrono_literals;

static const Common::TimePoint s_start {};

TEST(RevisionCursorTest, OnePartIsInFlightAtATime)
{
    RevisionCursor cursor;
    EXPECT_EQ(cursor.next(s_start), 0U);
    cursor.recordSent(10, s_start);
    EXPECT_FALSE(cursor.next(s_start + 2999ms)) << "one part is in flight, however much has changed since";
    cursor.acknowledge(10);
    EXPECT_EQ(cursor.next(s_start + 100ms), 10U);
    cursor.recordSent(20, s_start + 100ms);
    cursor.forgetSent();
    EXPECT_EQ(cursor.next(s_start + 200ms), 10U) << "the connection has ended";
    cursor.recordSent(20, s_start + 200ms);
    EXPECT_EQ(cursor.next(s_start + 3200ms), 10U) << "the part was not acknowledged in time";
    cursor.acknowledge(5000);
    EXPECT_EQ(cursor.next(s_start + 3200ms), 10U) << "the acknowledgement belongs to an earlier process of this router";
    cursor.acknowledge(0);
    EXPECT_EQ(cursor.next(s_start + 3300ms), 0U) << "the peer has restarted";
}

} // namespace Brassladder::RouteServing::Routing
