// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Operator/SuspectReport.h"

#include <gtest/gtest.h>
#include <vector>

namespace Brassladder::Operator {

using Common::Json;

// A router has its own crashes, and those of other routers only for requests with two or more crashes.
TEST(SuspectReportTest, MergeKeepsTheEntryWithMostCrashes)
{
    std::vector<Json> lists { Json::array({ { { "identity", "a" }, { "crashes", 1 }, { "in_turn", 1 } } }),
        Json::array({ { { "identity", "a" }, { "crashes", 3 }, { "in_turn", 3 }, { "state", "held" } },
            { { "identity", "b" }, { "crashes", 2 }, { "in_turn", 1 } } }) };
    auto merged = mergeSuspects(lists);
    ASSERT_EQ(merged.size(), 2U);
    EXPECT_EQ(merged[0]["identity"], "a");
    EXPECT_EQ(merged[0]["state"], "held");
    EXPECT_EQ(merged[1]["identity"], "b");
}

TEST(SuspectReportTest, TextListsTheCrashesOfASuspect)
{
    Json suspect { { "identity", "00ff" }, { "state", "held" }, { "workspace", "w" }, { "target", "/x" },
        { "body_bytes", 12 }, { "crashes", 4 }, { "in_turn", 3 }, { "next_trial_in_ms", 60'500 },
        { "runs", { { { "upstream", "i-1" }, { "ago_ms", 2500 }, { "ms", 407 }, { "request", "a1" } } } } };
    EXPECT_EQ(toText(suspect),
        "00ff  held  3 consecutive crashes of 4  workspace w  /x  12 bytes  next trial in 60 s\n"
        "    i-1  crashed 2 s ago, 407 ms after request a1 was sent there\n");
}

TEST(SuspectReportTest, TextTellsPartsOfPromptsFromRequests)
{
    Json suspect { { "identity", "00ff" }, { "kind", "prompt_part" }, { "state", "held" }, { "workspace", "w" },
        { "target", "/x" }, { "crashes", 3 }, { "in_turn", 3 } };
    EXPECT_EQ(toText(suspect), "00ff  part of prompts  held  3 consecutive crashes of 3  workspace w  /x\n");
}

} // namespace Brassladder::Operator
