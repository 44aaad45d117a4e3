// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/FiberRuntime.h"
#include "Common/HttpClient.h"
#include "Testing/Fakes/EndlessServer.h"
#include "UnitTests/TestRuntime.h"

#include <gtest/gtest.h>

// Guards against memory that grows as long as a remote side sends bytes that never complete a response.
namespace Brassladder::Common {

using namespace std::chrono_literals;
using Testing::Fakes::EndlessServer;

namespace {

constexpr size_t testBodyLimit = 1024 * 1024;
// The buffers of two loopback sockets hold some megabytes.
constexpr size_t maxTakenBytes = 24 * 1024 * 1024;

std::string filler(const std::string& text)
{
    std::string repeated;
    while (repeated.size() < 64 * 1024)
        repeated += text;
    return repeated;
}

// Calls the server, and expects an error after a bounded number of bytes. No time-out ends the call.
void expectBoundedError(const std::string& beginning, const std::string& text)
{
    EndlessServer server(beginning, filler(text));
    bool isFailed = testRuntime().call([&] {
        HttpClientRequest request;
        request.target = "/";
        request.deadline = now() + 1h;
        return isError(callOnce(server.endpoint(), request, testBodyLimit));
    });
    EXPECT_TRUE(isFailed);
    EXPECT_LT(server.sentBytes(), maxTakenBytes);
}

} // namespace

TEST(EndlessResponseTest, BytesThatAreNoResponseAreRejected) { expectBoundedError("", "x"); }

TEST(EndlessResponseTest, AStatusLineWithoutEndIsRejected) { expectBoundedError("HTTP/1.1 200 O", "K"); }

TEST(EndlessResponseTest, AHeaderWithoutEndIsRejected) { expectBoundedError("HTTP/1.1 200 OK\r\nA: ", "x"); }

TEST(EndlessResponseTest, HeadersWithoutEndAreRejected) { expectBoundedError("HTTP/1.1 200 OK\r\n", "A: b\r\n"); }

TEST(EndlessResponseTest, AnUnframedBodyWithoutEndIsRejected) { expectBoundedError("HTTP/1.1 200 OK\r\n\r\n", "x"); }

TEST(EndlessResponseTest, AChunkSizeWithoutEndIsRejected)
{
    expectBoundedError("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0");
}

TEST(EndlessResponseTest, AChunkExtensionWithoutEndIsRejected)
{
    expectBoundedError("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "x");
}

TEST(EndlessResponseTest, TrailersWithoutEndAreRejected)
{
    expectBoundedError("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n");
}

TEST(EndlessResponseTest, ATrailerWithoutEndIsRejected)
{
    expectBoundedError("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x");
}

TEST(EndlessResponseTest, ChunksWithoutEndAreRejected)
{
    expectBoundedError("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n");
}

TEST(EndlessResponseTest, AnAnswerToATunnelRequestWithoutEndIsRejected)
{
    for (const auto* beginning : { "HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 O", "" }) {
        EndlessServer server(beginning, filler("x"));
        bool isFailed = testRuntime().call([&] {
            HttpConnection connection;
            return isError(connection.connectThrough(server.endpoint(), { { "127.0.0.1", 9 }, "", {} }, 1h));
        });
        EXPECT_TRUE(isFailed);
        EXPECT_LT(server.sentBytes(), maxTakenBytes);
    }
}

} // namespace Brassladder::Common
