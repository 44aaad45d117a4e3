// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/FiberRuntime.h"
#include "Common/HttpClient.h"
#include "Common/HttpServer.h"
#include "UnitTests/TestRuntime.h"

#include <atomic>
#include <gtest/gtest.h>

namespace Brassladder::Common {

using namespace std::chrono_literals;

// Guards against large bodies that take thousands of turns of a busy thread.
TEST(HttpClientTest, LargeChunksReadWhatHasArrivedAtOnce)
{
    // Fits into the socket's buffer, so that all of it arrives before the first chunk is read.
    static constexpr size_t bodyBytes = 32 * 1024;
    std::atomic<bool> isWritten { false };
    auto server = HttpServer::Builder(testRuntime())
                      .handler([&](HttpExchange& exchange) {
                          exchange.respond({ 200, std::string(bodyBytes, 'x'), "text/plain", {} });
                          isWritten = true;
                      })
                      .build();
    ASSERT_FALSE(isError(server));
    Endpoint endpoint { "127.0.0.1", valueOf(server)->port() };
    testRuntime().call([&] {
        HttpConnection connection;
        EXPECT_FALSE(isError(connection.connect(endpoint, 1s)));
        HttpClientRequest request;
        request.target = "/";
        request.responseTimeout = 10s;
        EXPECT_FALSE(isError(connection.start(request)));
        for (int step = 0; step < 2000 && !isWritten; ++step)
            sleepFor(5ms);
        size_t bytes = 0;
        size_t chunks = 0;
        while (true) {
            auto chunk = connection.readBodyChunk(HttpConnection::largeChunkBytes);
            if (isError(chunk) || valueOf(chunk).empty())
                break;
            bytes += valueOf(chunk).size();
            ++chunks;
        }
        EXPECT_EQ(bytes, bodyBytes);
        EXPECT_LE(chunks, 3U);
        return true;
    });
}

} // namespace Brassladder::Common
