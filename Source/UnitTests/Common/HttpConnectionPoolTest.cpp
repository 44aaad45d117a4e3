// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/FiberRuntime.h"
#include "Common/HttpConnectionPool.h"
#include "UnitTests/TestRuntime.h"

#include <gtest/gtest.h>

namespace Brassladder::Common {

using namespace std::chrono_literals;

static Endpoint startServer()
{
    auto server = HttpServer::Builder(testRuntime())
                      .handler([](HttpExchange& exchange) { exchange.respond(HttpResponse {}); })
                      .build();
    return { "127.0.0.1", valueOf(server)->port() };
}

static void useOnce(HttpConnectionPool& pool, const Endpoint& endpoint)
{
    auto connection = pool.acquire(endpoint, 1s);
    ASSERT_FALSE(isError(connection));
    HttpClientRequest request;
    request.target = "/";
    ASSERT_FALSE(isError(valueOf(connection)->start(request)));
    ASSERT_FALSE(isError(valueOf(connection)->readRemainingBody(1000)));
    pool.release(endpoint, std::move(valueOf(connection)));
}

// Guards against a process that runs out of descriptors because upstreams are replaced again and again.
TEST(HttpConnectionPoolTest, ConnectionsOfEndpointsThatAreNotUsedAreClosed)
{
    auto left = startServer();
    auto used = startServer();
    testRuntime().call([&] {
        HttpConnectionPool pool;
        useOnce(pool, left);
        useOnce(pool, used);
        EXPECT_EQ(pool.size(), 2U);
        pool.closeUnused(now() + 5s);
        EXPECT_EQ(pool.size(), 2U);
        pool.closeUnused(now() + 11s);
        EXPECT_EQ(pool.size(), 0U);
        useOnce(pool, used);
        EXPECT_EQ(pool.size(), 1U);
        return true;
    });
}

} // namespace Brassladder::Common
