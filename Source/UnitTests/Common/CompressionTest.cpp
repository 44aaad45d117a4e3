// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/Compression.h"

#include <gtest/gtest.h>

namespace Brassladder::Common {

static std::string reasonOf(const Result<std::string>& inflated)
{
    return isError(inflated) ? errorOf(inflated).message : "none";
}

TEST(CompressionTest, InflateRestoresDeflatedBytes)
{
    std::string allByteValues(256, '\0');
    for (size_t index = 0; index < allByteValues.size(); ++index)
        allByteValues[index] = static_cast<char>(index);
    for (const auto& bytes : { std::string(), std::string("a"), allByteValues, std::string(1'000'000, 'x') }) {
        auto inflated = inflate(deflate(bytes), bytes.size());
        ASSERT_FALSE(isError(inflated)) << reasonOf(inflated);
        EXPECT_EQ(valueOf(inflated), bytes);
    }
    EXPECT_LT(deflate(std::string(1'000'000, 'x')).size(), 10'000U);
}

TEST(CompressionTest, InflateRejectsOversizedOrCorruptInput)
{
    auto deflated = deflate(std::string(1'000'000, 'x'));
    EXPECT_EQ(reasonOf(inflate(deflated, 999'999)), "inflated data exceeds 999999 bytes");
    EXPECT_EQ(reasonOf(inflate(deflated.substr(0, deflated.size() - 1), 2'000'000)), "truncated zlib data");
    EXPECT_EQ(reasonOf(inflate("", 1000)), "truncated zlib data");
    EXPECT_EQ(reasonOf(inflate("not deflated", 1000)), "incorrect header check");
    deflated[deflated.size() - 2] ^= 1;
    EXPECT_EQ(reasonOf(inflate(deflated, 2'000'000)), "incorrect data check");
}

} // namespace Brassladder::Common
