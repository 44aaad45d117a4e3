// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/FiberRuntime.h"
#include "Common/HttpClient.h"
#include "Testing/Fakes/RawServer.h"
#include "UnitTests/TestRuntime.h"

#include <gtest/gtest.h>

// Guards against responses that the parser accepts although they state no usable status, or no end of their body.
namespace Brassladder::Common {

using namespace std::chrono_literals;
using namespace std::string_literals;
using Testing::Fakes::RawServer;

namespace {

struct Received {
    unsigned status { 0 }; // 0: no response that can be used.
    std::string body;
    auto operator<=>(const Received&) const = default;
};

HttpClientRequest requestTo(const std::string& target, const std::string& method = "GET")
{
    HttpClientRequest request;
    request.method = method;
    request.target = target;
    request.responseTimeout = 10s;
    return request;
}

// Returns what a client receives of a server that sends these bytes and closes.
Received receive(const std::string& bytes, const std::string& method = "GET")
{
    RawServer server([&](const auto&) { return RawServer::Answer { bytes }; });
    return testRuntime().call([&] {
        auto response = callOnce(server.endpoint(), requestTo("/", method));
        return isError(response) ? Received {} : Received { valueOf(response).status, valueOf(response).body };
    });
}

std::string withStatus(const std::string& status)
{
    return "HTTP/1.1 " + status + " X\r\nContent-Length: 4\r\n\r\nbody";
}

std::string withFields(const std::string& fields, const std::string& body = "body")
{
    return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body;
}

const std::string chunkedBody = "4\r\nbody\r\n0\r\n\r\n";

} // namespace

TEST(MessageHeadTest, AStatusOutsideTheDefinedClassesIsNoResponse)
{
    for (const auto* status :
        { "000", "001", "099", "100", "101", "102", "199", "600", "999", "20", "2000", "-20", "2x0" })
        EXPECT_EQ(receive(withStatus(status)), Received {}) << status;
    for (unsigned status : { 200U, 299U, 400U, 500U, 599U })
        EXPECT_EQ(receive(withStatus(std::to_string(status))), (Received { status, "body" }));
}

TEST(MessageHeadTest, ABodyInACodingThatIsNotChunkedAloneIsNoResponse)
{
    for (const auto* coding : { "gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked",
             "", "chunked;q=1", "chunked\r\nTransfer-Encoding: chunked", "gzip\r\nTransfer-Encoding: chunked" }) {
        auto fields = "Transfer-Encoding: "s + coding + "\r\n";
        EXPECT_EQ(receive(withFields(fields, chunkedBody)), Received {}) << coding;
        EXPECT_EQ(receive(withFields(fields)), Received {}) << coding;
    }
    for (const auto* coding : { "chunked", "Chunked", " chunked " })
        EXPECT_EQ(
            receive(withFields("Transfer-Encoding: "s + coding + "\r\n", chunkedBody)), (Received { 200, "body" }));
    EXPECT_EQ(receive("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody), Received {});
}

TEST(MessageHeadTest, AHeadThatIsNotWellFormedIsNoResponse)
{
    const std::string end = "Content-Length: 4\r\n";
    for (const auto& field :
        { "A b: c\r\n"s, "A\tb: c\r\n"s, "A\x01: c\r\n"s, "A\x7f: c\r\n"s, "A\0b: c\r\n"s, "A\x80: c\r\n"s,
            "A : c\r\n"s, ": c\r\n"s, "A: c\x01\r\n"s, "A: c\0d\r\n"s, "A\r\n"s, "A: c\rB: d\r\n"s, "A: c\n"s })
        EXPECT_EQ(receive(withFields(field + end)), Received {}) << testing::PrintToString(field);
    for (const auto* fields : { "Content-Length: 4\r\nContent-Length: 5\r\n",
             "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "Content-Length: +4\r\n", "Content-Length: -4\r\n",
             "Content-Length : 4\r\n", "Content-Length: 99999999999999999999\r\n" })
        EXPECT_EQ(receive(withFields(fields)), Received {}) << fields;
    for (const auto* beginning : { "HTTP/2.0 200 OK\r\n", "HTTP/3.1 200 OK\r\n", " HTTP/1.1 200 OK\r\n",
             "HTTP/1.1 200\r\n", "HTTP/1.1  200 OK\r\n", "http/1.1 200 OK\r\n", "ICY 200 OK\r\n", "200 OK\r\n" })
        EXPECT_EQ(receive(beginning + end + "\r\nbody"), Received {}) << beginning;
    EXPECT_EQ(receive(withFields("Transfer-Encoding: chunked\r\n", "4x\r\nbody\r\n0\r\n\r\n")), Received {});
}

TEST(MessageHeadTest, InterimResponsesAreSkipped)
{
    const auto final = withStatus("200");
    for (const auto* interim : { "100 Continue", "102 Processing", "103 Early Hints\r\nLink: </a>", "199 X" }) {
        auto head = "HTTP/1.1 "s + interim + "\r\n\r\n";
        EXPECT_EQ(receive(head + final), (Received { 200, "body" })) << interim;
        auto twice = head;
        twice.append(head).append(final);
        EXPECT_EQ(receive(twice), (Received { 200, "body" })) << interim;
        EXPECT_EQ(receive(head + withStatus("000")), Received {}) << interim;
        EXPECT_EQ(receive(head), Received {}) << interim;
    }
    EXPECT_EQ(receive("HTTP/1.1 101 Switching Protocols\r\n\r\n" + final), Received {});
}

TEST(MessageHeadTest, ResponsesWithoutABodyHaveNone)
{
    for (unsigned status : { 204U, 304U })
        EXPECT_EQ(receive("HTTP/1.1 " + std::to_string(status) + " X\r\n\r\n"), (Received { status, "" }));
    EXPECT_EQ(receive("HTTP/1.1 304 X\r\nContent-Length: 4\r\n\r\n"), (Received { 304, "" }));
    EXPECT_EQ(receive("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "HEAD"), (Received { 200, "" }));
    EXPECT_EQ(
        receive("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "HEAD"), (Received { 200, "" }));
    EXPECT_EQ(receive("HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\n", "HEAD"), Received {});
}

// What follows on the connection would be read as the response to the next request.
TEST(MessageHeadTest, AConnectionIsNotUsedAfterAnUnusableResponse)
{
    for (const auto& bytes : { withStatus("000") + withStatus("200"), withStatus("101") + withStatus("200"),
             withFields("Transfer-Encoding: gzip\r\n") + withStatus("200") }) {
        RawServer server([&](const auto&) { return RawServer::Answer { bytes, false }; });
        testRuntime().call([&] {
            HttpConnection connection;
            EXPECT_FALSE(isError(connection.connect(server.endpoint(), 1s)));
            EXPECT_TRUE(isError(connection.start(requestTo("/"))));
            EXPECT_FALSE(connection.isReusable());
            EXPECT_EQ(connection.end(), ConnectionEnd::Unusable);
            return true;
        });
    }
}

TEST(MessageHeadTest, ATunnelOpensOnlyAfterAUsableResponse)
{
    auto opens = [](const std::string& bytes) {
        RawServer server([&](const auto&) { return RawServer::Answer { bytes, false }; });
        return testRuntime().call([&] {
            HttpConnection connection;
            return !isError(connection.connectThrough(server.endpoint(), { { "127.0.0.1", 1 }, "key", {} }, 1s));
        });
    };
    EXPECT_TRUE(opens("HTTP/1.1 200 OK\r\n\r\n"));
    EXPECT_TRUE(opens("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"));
    for (const auto* status : { "000", "099", "101", "204", "502", "600" })
        EXPECT_FALSE(opens("HTTP/1.1 "s + status + " X\r\nContent-Length: 0\r\n\r\n")) << status;
}

} // namespace Brassladder::Common
