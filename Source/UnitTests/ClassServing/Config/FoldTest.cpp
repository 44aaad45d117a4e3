// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Config/Fold.h"
#include "ClassServing/Config/Table.h"
#include "Common/Digest.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Brassladder::ClassServing::Config {

static std::string publish(const std::string& file, uint64_t base, const std::string& id, const std::string& content)
{
    return encodeRecord(PublishRecord { file, base, id, Common::sha256Hex(content), content });
}

TEST(FoldTest, FirstOfTwoConcurrentPublishesWins)
{
    Fold fold;
    EXPECT_EQ(fold.apply(1, 0, publish("pools", 0, "a", "first")), FoldVerdict::Accepted);
    EXPECT_EQ(fold.apply(2, 0, publish("pools", 1, "b", "second")), FoldVerdict::Accepted);
    EXPECT_EQ(fold.apply(3, 0, publish("pools", 1, "c", "third")), FoldVerdict::Conflict);
    EXPECT_EQ(fold.files().at("pools").content, "second");
    EXPECT_EQ(fold.versionOf("pools"), 2u);
}

TEST(FoldTest, ResendOfAnAcceptedPublishHasNoEffect)
{
    Fold fold;
    fold.apply(1, 0, publish("pools", 0, "a", "first"));
    EXPECT_EQ(fold.apply(2, 0, publish("pools", 0, "a", "first")), FoldVerdict::Repeated);
    EXPECT_EQ(fold.versionOf("pools"), 1u);
}

TEST(FoldTest, OlderSnapshotDoesNotReplaceANewerFile)
{
    Fold fold;
    fold.apply(1, 0, publish("pools", 0, "a", "first"));
    auto old = fold.files().at("pools");
    fold.apply(2, 0, publish("pools", 1, "b", "second"));
    fold.apply(3, 0, encodeRecord(SnapshotRecord { "pools", old }));
    EXPECT_EQ(fold.files().at("pools").content, "second");
}

TEST(FoldTest, FileWithAWrongDigestIsNotMerged)
{
    Fold fold;
    EXPECT_FALSE(fold.merge("pools", { 9, "x", "not the digest", "content", 0 }));
    EXPECT_TRUE(fold.merge("pools", { 9, "x", Common::sha256Hex("content"), "content", 0 }));
    EXPECT_FALSE(fold.merge("pools", { 8, "y", Common::sha256Hex("older"), "older", 0 }));
}

TEST(FoldTest, MalformedRecordsAreSkipped)
{
    Fold fold;
    for (const auto* text :
        { "", "{", "[]", "{\"type\":\"publish\"}", "\xff\xfe", "{\"type\":\"other\",\"file\":\"a\"}" })
        EXPECT_EQ(fold.apply(1, 0, text), FoldVerdict::Malformed) << text;
}

// For any history of publishes and snapshots, versions never decrease. A reader that starts with the state of a peer
// and reads the log from an earlier offset reaches the same state as a reader of the whole log.
TEST(FoldTest, VersionsIncreaseAndLateReadersConverge)
{
    bool holds = rc::check("fold", [] {
        struct Step {
            int kind;
            int back;
        };
        auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 3)));
        Fold whole;
        std::vector<std::string> log;
        std::vector<Fold> states { whole };
        for (const auto& [kind, back] : steps) {
            uint64_t version = whole.versionOf("pools");
            uint64_t base = version > static_cast<uint64_t>(back) ? version - static_cast<uint64_t>(back) : 0;
            if (kind == 2 && version)
                log.push_back(encodeRecord(SnapshotRecord { "pools", whole.files().at("pools") }));
            else
                log.push_back(publish(
                    "pools", base, "id" + std::to_string(log.size() / 2), "content" + std::to_string(log.size())));
            whole.apply(log.size(), 0, log.back());
            RC_ASSERT(whole.versionOf("pools") >= version);
            states.push_back(whole);
        }
        auto start = *rc::gen::inRange<size_t>(0, states.size());
        Fold late;
        for (const auto& [name, file] : states[start].files())
            late.merge(name, file);
        auto from = *rc::gen::inRange<size_t>(0, start + 1);
        for (size_t offset = from; offset < log.size(); ++offset)
            late.apply(offset + 1, 0, log[offset]);
        RC_ASSERT(late.versionOf("pools") == whole.versionOf("pools"));
        RC_ASSERT(late.digest() == whole.digest());
    });
    EXPECT_TRUE(holds);
}

TEST(CompilerTest, InvalidFileKeepsTheLastValidVersionInForce)
{
    Fold fold;
    Compiler compiler;
    fold.apply(
        1, 0, publish("pools", 0, "a", R"({"pools":[{"name":"language","kind":"engine","slots_per_worker":8}]})"));
    EXPECT_NE(compiler.compile(fold).table->pool("language"), nullptr);
    fold.apply(
        2, 0, publish("pools", 1, "b", R"({"pools":[{"name":"language","kind":"engine","slots_per_worker":"many"}]})"));
    auto compiled = compiler.compile(fold);
    EXPECT_NE(compiled.table->pool("language"), nullptr);
    ASSERT_TRUE(compiled.heldBack.contains("pools"));
    EXPECT_EQ(compiled.heldBack.at("pools").at(0).pointer, "/pools/0/slots_per_worker");
}

} // namespace Brassladder::ClassServing::Config
