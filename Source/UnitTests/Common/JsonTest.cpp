// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/Json.h"

#include <gtest/gtest.h>

namespace Brassladder::Common {

static std::string nested(size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

// Guards against a stack overflow: serialising recurses for each level, and the stack of a fiber is small.
TEST(JsonTest, TextNestedTooDeeplyIsDiscarded)
{
    EXPECT_TRUE(parseJson(nested(5000)).is_discarded());
    EXPECT_TRUE(parseJson("{\"messages\":" + nested(5000) + "}").is_discarded());
    std::string objects;
    for (int level = 0; level < 5000; ++level)
        objects += "{\"a\":";
    EXPECT_TRUE(parseJson(objects + "1" + std::string(5000, '}')).is_discarded());
}

TEST(JsonTest, DepthIsBoundedExactly)
{
    auto deepest = parseJson(nested(maxJsonDepth));
    ASSERT_FALSE(deepest.is_discarded());
    EXPECT_EQ(dumpJson(deepest), nested(maxJsonDepth));
    EXPECT_TRUE(parseJson(nested(maxJsonDepth + 1)).is_discarded());
}

TEST(JsonTest, BracketsInStringsAndSiblingsAreNotLevels)
{
    std::string text(1000, '[');
    text += "\\\"";
    text.append(1000, '{');
    EXPECT_EQ(parseJson(dumpJson(text)), Json(text));
    auto siblings = Json::array();
    for (int index = 0; index < 1000; ++index)
        siblings.push_back({ { "role", "user" } });
    EXPECT_EQ(parseJson(dumpJson(siblings)), siblings);
}

TEST(JsonTest, TextThatIsNotJsonIsDiscarded)
{
    for (const char* text : { "", "{", "]", "[1]]", "\"open", "\"open\\", "[\"]", "[\"\xff\"]" })
        EXPECT_TRUE(parseJson(text).is_discarded()) << text;
}

} // namespace Brassladder::Common
