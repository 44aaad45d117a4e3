// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/FiberIo.h"
#include "Testing/Harness/Cluster.h"
#include "Testing/Load/Generator.h"
#include "UnitTests/TestRuntime.h"

#include <gtest/gtest.h>
#include <thread>

namespace Brassladder {

using Common::Json;
using Testing::Harness::Cluster;
namespace asio = boost::asio;

namespace {

// All tests share one cluster, which shows that an invalid request does not affect later ones.
class CallerContractTest : public testing::Test {
protected:
    static void SetUpTestSuite()
    {
        s_cluster = new Cluster(testRuntime());
        s_cluster->addEngine("engine-1", "language", { 2000, 8, 100 });
        s_cluster->addService("orders-1", "orders");
        s_cluster->addRouter("router-1",
            { { "/http/receive_ms", "300" }, { "/http/idle_ms", "400" }, { "/http/max_body_bytes", "16384" },
                { "/http/max_header_bytes", "2048" } });
        s_cluster->publish(Testing::Harness::testConfiguration());
    }
    static void TearDownTestSuite() { delete std::exchange(s_cluster, nullptr); }

    // Sends raw bytes and reads until the router closes the connection or 3 s have passed.
    static std::string sendRaw(const std::string& bytes, bool halfClose)
    {
        return testRuntime().call([&] {
            boost::beast::tcp_stream stream(Common::FiberRuntime::currentContext());
            stream.expires_after(std::chrono::seconds(3));
            auto endpoint = s_cluster->node("router-1").endpoint;
            asio::ip::tcp::endpoint target(asio::ip::make_address(endpoint.address), endpoint.port);
            Common::awaitIo([&](auto handler) { stream.async_connect(target, std::move(handler)); });
            Common::awaitIo([&](auto handler) { asio::async_write(stream, asio::buffer(bytes), std::move(handler)); });
            if (halfClose)
                stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send);
            std::string answer(64 * 1024, '\0');
            auto read = Common::awaitIo(
                [&](auto handler) { asio::async_read(stream, asio::buffer(answer), std::move(handler)); });
            answer.resize(read.bytes);
            return answer;
        });
    }

    static Testing::Load::CallRecord goodCall(bool streaming, const std::string& nonce)
    {
        Testing::Load::Arrivals arrivals;
        arrivals.requestClass = "chat";
        arrivals.key = Testing::Harness::testKey;
        arrivals.stream = streaming;
        Testing::Load::Call call { &arrivals, nonce, 5, "", "" };
        return testRuntime().call(
            [&] { return Testing::Load::callRouter(s_cluster->node("router-1").endpoint, call); });
    }

    static Cluster* s_cluster;
};

Cluster* CallerContractTest::s_cluster = nullptr;

struct HeaderCase {
    const char* name;
    Common::HttpClientRequest call;
    unsigned status;
    const char* kind;
};

std::string request(const std::string& line, const std::string& headers, const std::string& body)
{
    return line + " HTTP/1.1\r\nHost: x\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

} // namespace

TEST_F(CallerContractTest, WholeAndStreamedResponsesMatchTheRequest)
{
    EXPECT_TRUE(goodCall(true, "s1").isComplete);
    EXPECT_TRUE(goodCall(false, "w1").isComplete);
}

TEST_F(CallerContractTest, BadRequestsGetTheSpecifiedErrorKind)
{
    static const std::string s_key = std::string("Bearer ") + Testing::Harness::testKey;
    static const char* s_chat = "/v1/chat/completions";
    const std::vector<HeaderCase> cases {
        { "no key", { "POST", s_chat, "{}", {} }, 401, "unauthenticated" },
        { "wrong key", { "POST", s_chat, "{}", { { "Authorization", "Bearer nobody" } } }, 401, "unauthenticated" },
        { "unknown class", { "POST", s_chat, "{}", { { "Authorization", s_key }, { "Brassladder-Class", "gold" } } },
            403, "forbidden_class" },
        { "class of another pool",
            { "POST", s_chat, "{}", { { "Authorization", s_key }, { "Brassladder-Class", "stock" } } }, 403,
            "forbidden_class" },
        { "not JSON", { "POST", s_chat, "{", { { "Authorization", s_key } } }, 400, "bad_request" },
        { "bad UTF-8", { "POST", s_chat, "{\"messages\":[\"\xff\xfe\"]}", { { "Authorization", s_key } } }, 400,
            "bad_request" },
        { "no messages", { "POST", s_chat, "{\"messages\":[]}", { { "Authorization", s_key } } }, 400, "bad_request" },
        { "deeply nested", { "POST", s_chat, std::string(4000, '['), { { "Authorization", s_key } } }, 400,
            "bad_request" },
        { "unknown route", { "GET", "/elsewhere", "", { { "Authorization", s_key } } }, 404, "unknown_route" },
        { "wrong method", { "GET", s_chat, "", { { "Authorization", s_key } } }, 404, "unknown_route" },
        { "unknown service",
            { "GET", "/services/none/x", "", { { "Authorization", s_key }, { "Brassladder-Class", "stock" } } }, 403,
            "forbidden_class" },
        { "body too large", { "POST", s_chat, std::string(20000, 'x'), { { "Authorization", s_key } } }, 413,
            "body_too_large" },
        { "headers too large", { "POST", s_chat, "{}", { { "Authorization", std::string(3000, 'x') } } }, 431,
            "headers_too_large" },
        { "bad attempt",
            { "POST", "/services/orders/pay", "",
                { { "Authorization", s_key }, { "Brassladder-Class", "payment" }, { "Brassladder-Attempt", "0" } } },
            400, "bad_request" },
        { "vouched class without attempt",
            { "POST", "/services/orders/pay", "",
                { { "Authorization", s_key }, { "Brassladder-Class", "vouched" }, { "Idempotency-Key", "k" } } },
            400, "bad_request" },
        { "operator call without the fleet's key", { "GET", "/admin/status", "", {} }, 401, "unauthenticated" },
        { "operator call with a workspace's key", { "GET", "/admin/status", "", { { "Authorization", s_key } } }, 401,
            "unauthenticated" },
    };
    for (const auto& each : cases) {
        auto answer = s_cluster->call("router-1", each.call);
        ASSERT_FALSE(isError(answer)) << each.name << ": " << errorOf(answer).message;
        EXPECT_EQ(valueOf(answer).status, each.status) << each.name;
        auto error = Common::parseJson(valueOf(answer).body)["error"];
        EXPECT_EQ(error["kind"], each.kind) << each.name;
        EXPECT_EQ(error["ran"], "no") << each.name;
    }
    EXPECT_TRUE(goodCall(true, "after").isComplete);
}

// Serializing a deeply nested body can overflow a fiber's stack and crash the router or the fake engine.
TEST_F(CallerContractTest, DeeplyNestedMessagesAreRefusedAndTheNextCallIsServed)
{
    constexpr size_t depth = 5000;
    auto body = "{\"messages\":[" + std::string(depth, '[') + std::string(depth, ']') + "]}";
    auto answer = s_cluster->call("router-1",
        { "POST", "/v1/chat/completions", body,
            { { "Authorization", std::string("Bearer ") + Testing::Harness::testKey } } });
    ASSERT_FALSE(isError(answer)) << errorOf(answer).message;
    EXPECT_EQ(valueOf(answer).status, 400U);
    EXPECT_TRUE(goodCall(true, "after-nested").isComplete);
}

TEST_F(CallerContractTest, MalformedBytesGetAnErrorResponseOrACleanClose)
{
    struct RawCase {
        const char* name;
        std::string bytes;
        bool halfClose;
        const char* expected; // Substring of the response. If empty, the connection must close without a response.
    };
    const std::vector<RawCase> cases {
        { "garbage", "\x01\x02\x03 garbage\r\n\r\n", false, "bad_request" },
        { "slow sender", "POST /v1/chat/completions HTTP/1.1\r\nContent-Le", false, "request_timeout" },
        { "silent caller", "", false, "" },
        { "half-closed in the head", "POST /v1/chat", true, "" },
        { "garbage after a request", request("GET /healthz", "", "") + "garbage\r\n\r\n", false, "bad_request" },
        { "two requests in one go", request("GET /healthz", "", "") + request("GET /nowhere", "", ""), false,
            "unknown_route" },
        { "two lengths", "GET /healthz HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", false,
            "bad_request" },
    };
    for (const auto& each : cases) {
        auto answer = sendRaw(each.bytes, each.halfClose);
        if (*each.expected)
            EXPECT_NE(answer.find(each.expected), std::string::npos) << each.name << ": " << answer;
        else
            EXPECT_TRUE(answer.empty()) << each.name << ": " << answer;
    }
    EXPECT_TRUE(goodCall(true, "after-raw").isComplete);
}

// Guards against a Content-Type header that is forwarded and added again.
TEST_F(CallerContractTest, AServiceResponseHasOneContentType)
{
    auto response = s_cluster->call("router-1",
        { "GET", "/services/orders/x", "",
            { { "Authorization", std::string("Bearer ") + Testing::Harness::testKey },
                { "Brassladder-Class", "stock" } } });
    ASSERT_FALSE(isError(response)) << errorOf(response).message;
    ASSERT_EQ(valueOf(response).status, 200U);
    auto isContentType = [](const auto& header) { return header.name == "Content-Type"; };
    const auto& headers = valueOf(response).headers;
    EXPECT_EQ(std::count_if(headers.begin(), headers.end(), isContentType), 1);
}

TEST_F(CallerContractTest, AServiceResponseWithoutAStatedEndIsRelayedWithoutOne)
{
    s_cluster->fault("orders-1", { { "end_answers_early", 1 } });
    auto response = s_cluster->call("router-1",
        { "GET", "/services/orders/x", "",
            { { "Authorization", std::string("Bearer ") + Testing::Harness::testKey },
                { "Brassladder-Class", "stock" } } });
    s_cluster->fault("orders-1", { { "end_answers_early", 0 } });
    ASSERT_FALSE(isError(response)) << errorOf(response).message;
    EXPECT_EQ(valueOf(response).framing, Common::BodyFraming::UntilClose);
}

TEST_F(CallerContractTest, CallerDisconnectCancelsTheGeneration)
{
    auto tokensBefore = s_cluster->counters("engine-1")["tokens"].get<uint64_t>();
    auto body = Common::dumpJson(
        { { "stream", true }, { "messages", { { { "role", "user" }, { "content", "nonce=gone len=4000" } } } } });
    testRuntime().call([&] {
        Common::HttpConnection connection;
        connection.connect(s_cluster->node("router-1").endpoint, Common::Milliseconds(1000));
        connection.start({ "POST", "/v1/chat/completions", body,
            { { "Authorization", std::string("Bearer ") + Testing::Harness::testKey } } });
        connection.readBodyChunk();
        connection.close();
        return true;
    });
    EXPECT_TRUE(
        s_cluster->await([&] { return s_cluster->counters("engine-1")["running"] == 0; }, std::chrono::seconds(5)));
    // The complete generation has 4,000 tokens and takes 8 seconds.
    EXPECT_LT(s_cluster->counters("engine-1")["tokens"].get<uint64_t>() - tokensBefore, 3900u);
    EXPECT_TRUE(s_cluster->await(
        [&] { return s_cluster->status("router-1")["shards"]["language/0"]["tiers"][1]["running"] == 0; },
        std::chrono::seconds(5)));
    auto metrics = valueOf(s_cluster->call("router-1", { "GET", "/metrics", "", {} })).body;
    EXPECT_NE(
        metrics.find("brassladder_wasted_tokens_total{class=\"chat\",reason=\"caller_gone\"}"), std::string::npos);
}

TEST_F(CallerContractTest, RequestCanBeExplained)
{
    auto record = goodCall(true, "explained");
    Common::HttpClientRequest call { "GET", "/admin/explain?id=" + record.requestId, "",
        { { "Authorization", std::string("Bearer ") + Cluster::fleetKey } } };
    const std::vector<std::string> expected { "granted", "first_token", "answered" };
    std::vector<std::string> steps;
    // The router records the step `answered` shortly after the caller received the complete response.
    for (int tries = 0; tries < 1000 && steps.size() < expected.size(); ++tries) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        auto body = Common::parseJson(valueOf(s_cluster->call("router-1", call)).body);
        steps.clear();
        for (const auto& step : body["steps"])
            steps.push_back(step["what"]);
    }
    EXPECT_EQ(steps, expected);
}

} // namespace Brassladder
