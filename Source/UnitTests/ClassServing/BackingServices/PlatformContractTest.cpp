// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/BackingServices/InstanceList.h"
#include "ClassServing/BackingServices/LogService.h"
#include "ClassServing/Upstream/LoadProbe.h"
#include "Common/HttpServer.h"
#include "UnitTests/TestRuntime.h"

#include <gtest/gtest.h>

namespace Brassladder {

namespace {

// A server that sends the same response to every request, or closes the connection if `cut`.
struct CannedServer {
    explicit CannedServer(unsigned status, std::string body, bool cut = false)
    {
        auto built = Common::HttpServer::Builder(testRuntime())
                         .handler([status, body = std::move(body), cut](Common::HttpExchange& exchange) {
                             if (cut)
                                 return exchange.abandon();
                             exchange.respond({ status, body, "application/json", {} });
                         })
                         .build();
        endpoint = { "127.0.0.1", valueOf(built)->port() };
    }
    Common::Endpoint endpoint;
};

struct BadAnswer {
    const char* name;
    unsigned status;
    const char* body;
    bool cut;
};

const std::vector<BadAnswer> s_badAnswers {
    { "down", 503, "{}", false },
    { "not JSON", 200, "<html>", false },
    { "bad UTF-8", 200, "{\"records\":\"\xff\"}", false },
    { "another shape", 200, "[]", false },
    { "wrong types", 200, R"({"records":{},"offset":"one","instances":7})", false },
    { "empty", 200, "", false },
    { "cut", 200, "", true },
};

} // namespace

TEST(PlatformContractTest, MalformedLogResponsesAreUnavailableAndAppendsAreUncertain)
{
    for (const auto& each : s_badAnswers) {
        CannedServer server(each.status, each.body, each.cut);
        auto log = ClassServing::BackingServices::httpLogService(server.endpoint);
        auto appended = testRuntime().call([&] { return log.append("config", "x"); });
        ASSERT_TRUE(isError(appended)) << each.name;
        EXPECT_EQ(errorOf(appended).kind, Common::ErrorKind::PlatformUnavailable) << each.name;
        EXPECT_EQ(errorOf(appended).ran, Common::Ran::Maybe) << each.name;
        EXPECT_TRUE(isError(testRuntime().call([&] { return log.read("config", 1, Common::Milliseconds(0)); })))
            << each.name;
    }
}

TEST(PlatformContractTest, MalformedInstanceListsAreUnavailableAndMalformedEntriesAreSkipped)
{
    for (const auto& each : s_badAnswers) {
        CannedServer server(each.status, each.body, each.cut);
        EXPECT_TRUE(isError(testRuntime().call([&] {
            return ClassServing::BackingServices::httpInstanceList(server.endpoint).read();
        }))) << each.name;
    }
    CannedServer server(200, R"({"instances":[1,{},{"id":"a"},{"id":"b","role":"router","endpoint":"host:1"},
        {"id":"c","role":"language","endpoint":"127.0.0.1:99999"},{"id":"d","role":"language","endpoint":"127.0.0.1:9","state":"odd"}]})");
    auto read
        = testRuntime().call([&] { return ClassServing::BackingServices::httpInstanceList(server.endpoint).read(); });
    ASSERT_FALSE(isError(read));
    ASSERT_EQ(valueOf(read).size(), 1u);
    EXPECT_EQ(valueOf(read)[0].id, "d");
    EXPECT_TRUE(valueOf(read)[0].leaving) << "an instance with an unknown state must count as leaving";
}

TEST(PlatformContractTest, MalformedLoadReportsReportNoLoad)
{
    for (const auto& each : s_badAnswers) {
        CannedServer server(each.status, each.body, each.cut);
        auto load = testRuntime().call([&] { return ClassServing::Upstream::readLoad(server.endpoint); });
        bool harmless = isError(load) || (valueOf(load).running == 0 && !valueOf(load).leaving);
        EXPECT_TRUE(harmless) << each.name;
    }
}

TEST(PlatformContractTest, FailedConnectReportsTheAppendAsNotRun)
{
    auto log = ClassServing::BackingServices::httpLogService({ "127.0.0.1", 1 });
    auto appended = testRuntime().call([&] { return log.append("config", "x"); });
    ASSERT_TRUE(isError(appended));
    EXPECT_EQ(errorOf(appended).ran, Common::Ran::No);
}

} // namespace Brassladder
