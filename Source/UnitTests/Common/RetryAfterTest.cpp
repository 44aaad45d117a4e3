// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/RetryAfter.h"

#include <gtest/gtest.h>

namespace Brassladder::Common {

using namespace std::chrono_literals;

namespace {

// Sun, 06 Nov 1994 08:49:37 GMT, the example of RFC 9110.
const std::chrono::system_clock::time_point exampleTime { std::chrono::seconds(784'111'777) };

std::optional<Milliseconds> parse(std::string_view value, std::string_view date = {})
{
    return parseRetryAfter(value, date, exampleTime);
}

} // namespace

TEST(RetryAfterTest, SecondsMayHaveFractions)
{
    EXPECT_EQ(parse("3"), 3000ms);
    EXPECT_EQ(parse(" 0.25 "), 250ms);
    EXPECT_EQ(parse("0"), 0ms);
    EXPECT_EQ(parse("0.0001"), 1ms) << "rounded up, so no retry comes too early";
}

TEST(RetryAfterTest, HttpDateIsRelativeToTheDateHeader)
{
    EXPECT_EQ(parse("Sun, 06 Nov 1994 08:49:47 GMT", "Sun, 06 Nov 1994 08:49:40 GMT"), 7000ms);
    EXPECT_EQ(parse("Sun, 06 Nov 1994 08:49:47 GMT"), 10'000ms) << "without a Date header, relative to now";
    EXPECT_EQ(parse("Sun, 06 Nov 1994 08:49:47 GMT", "yesterday"), 10'000ms);
    EXPECT_EQ(parse("Sun, 06 Nov 1994 08:00:00 GMT"), 0ms) << "a date in the past";
}

TEST(RetryAfterTest, OutOfRangeValuesAreClampedAndMalformedOnesRejected)
{
    EXPECT_EQ(parse("-5"), 0ms);
    EXPECT_EQ(parse("1e18"), maxRetryAfter);
    EXPECT_EQ(parse("inf"), maxRetryAfter);
    for (const auto* value : { "", "soon", "nan", "3 s", "3,5", "0x", "Sun, 06 Nov 1994" })
        EXPECT_FALSE(parse(value)) << value;
}

} // namespace Brassladder::Common
