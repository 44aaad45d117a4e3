// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "RouteServing/Gateway/HeaderRules.h"

#include <gtest/gtest.h>

namespace Brassladder::RouteServing::Gateway {

TEST(HeaderRulesTest, HopByHopAndWithheldHeadersAreNotForwarded)
{
    Common::HttpRequest request;
    request.set("Connection", "close");
    request.set("Transfer-Encoding", "chunked");
    request.set("X-Secret", "s");
    request.insert("Accept", "a");
    request.insert("Accept", "b");
    std::vector<std::string> withheld { "x-secret" };
    auto headers = headersForUpstream(request, withheld);
    ASSERT_EQ(headers.size(), 2U) << "a header that occurs twice is forwarded twice";
    EXPECT_EQ(headers[0].value, "a");
    EXPECT_EQ(headers[1].value, "b");

    Common::HttpClientResponse response;
    response.headers = { { "KEEP-ALIVE", "timeout=3" }, { "Content-Length", "3" }, { "Content-Type", "text/plain" } };
    auto forwarded = headersForCaller(response);
    ASSERT_EQ(forwarded.size(), 1U);
    EXPECT_EQ(forwarded[0].name, "Content-Type");
}

// RFC 9110, section 7.6.1: fields that `Connection` lists are hop-by-hop fields as well.
TEST(HeaderRulesTest, FieldsListedInConnectionAreNotForwarded)
{
    Common::HttpRequest request;
    request.set("Connection", "close, X-Hop");
    request.set("X-Hop", "h");
    request.set("X-End", "e");
    auto headers = headersForUpstream(request, {});
    ASSERT_EQ(headers.size(), 1U);
    EXPECT_EQ(headers[0].name, "X-End");

    Common::HttpClientResponse response;
    response.headers = { { "x-hop", "h" }, { "Connection", "X-HOP" }, { "X-End", "e" } };
    auto forwarded = headersForCaller(response);
    ASSERT_EQ(forwarded.size(), 1U);
    EXPECT_EQ(forwarded[0].name, "X-End");
}

TEST(HeaderRulesTest, ParseMillisecondsRequiresALeadingPositiveInteger)
{
    EXPECT_EQ(parseMilliseconds("1500.7"), Common::Milliseconds(1500));
    EXPECT_EQ(parseMilliseconds("1500"), Common::Milliseconds(1500));
    for (const char* text : { "", "0", "-5", "x", ".5", "99999999999999999999" })
        EXPECT_FALSE(parseMilliseconds(text)) << text;
}

} // namespace Brassladder::RouteServing::Gateway
