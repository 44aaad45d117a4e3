// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Claims/ClaimFold.h"

#include <gtest/gtest.h>

namespace Brassladder::ClassServing::Claims {

using namespace std::chrono_literals;

TEST(ClaimFoldTest, FirstClaimInLogOrderWins)
{
    ClaimFold fold(1h);
    fold.apply(0, { { { "k", "first" } }, {}, {} });
    fold.apply(1, { { { "k", "second" }, { "k", "first" } }, {}, {} });
    EXPECT_EQ(fold.verdict("k", "first"), Verdict::Won);
    EXPECT_EQ(fold.verdict("k", "second"), Verdict::Taken);
    EXPECT_EQ(fold.verdict("other", "x"), Verdict::Unclaimed);
}

TEST(ClaimFoldTest, EndedClaimHasItsOwnVerdict)
{
    ClaimFold fold(1h);
    fold.apply(0, { { { "k", "first" } }, {}, {} });
    fold.apply(1, { {}, {}, { { "k", "first" } } });
    EXPECT_EQ(fold.verdict("k", "second"), Verdict::Ended);
}

TEST(ClaimFoldTest, FreedKeyCanBeClaimedAgainButNotByItsOldClaimant)
{
    ClaimFold fold(1h);
    fold.apply(0, { { { "k", "first" } }, {}, {} });
    fold.apply(1, { {}, { { "k", "first" } }, {} });
    // A resent claim of the first request, recorded after its withdrawal.
    fold.apply(2, { { { "k", "first" } }, {}, {} });
    EXPECT_EQ(fold.verdict("k", "second"), Verdict::Unclaimed);
    fold.apply(3, { { { "k", "second" } }, {}, {} });
    EXPECT_EQ(fold.verdict("k", "second"), Verdict::Won);
}

TEST(ClaimFoldTest, FreeByAnotherRequestHasNoEffect)
{
    ClaimFold fold(1h);
    fold.apply(0, { { { "k", "first" } }, {}, {} });
    fold.apply(1, { {}, { { "k", "second" } }, {} });
    EXPECT_EQ(fold.verdict("k", "first"), Verdict::Won);
}

TEST(ClaimFoldTest, ClaimHoldsForTheHorizonOnTheLogsClock)
{
    ClaimFold fold(1000ms);
    fold.apply(0, { { { "k", "first" } }, {}, {} });
    fold.expire(1000);
    EXPECT_EQ(fold.verdict("k", "second"), Verdict::Taken);
    fold.expire(1001);
    EXPECT_EQ(fold.verdict("k", "second"), Verdict::Unclaimed);
}

TEST(ClaimFoldTest, BatchesAreDecodedAndMalformedTextIsEmpty)
{
    ClaimBatch batch { { { "a", "b" } }, { { "c", "d" } }, { { "e", "f" } } };
    auto decoded = decodeBatch(encodeBatch(batch));
    EXPECT_EQ(decoded.claimed.at(0).requestId, "b");
    EXPECT_EQ(decoded.freed.at(0).key, "c");
    EXPECT_EQ(decoded.ended.at(0).key, "e");
    for (const auto* text : { "", "[]", "{\"claimed\":[1,[2,3],[\"a\"]]}", "\xff" })
        EXPECT_TRUE(decodeBatch(text).isEmpty()) << text;
}

} // namespace Brassladder::ClassServing::Claims
