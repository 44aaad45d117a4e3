// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/HttpClient.h"
#include "Common/HttpServer.h"
#include "Common/Listener.h"
#include "Inner/TunnelServer.h"
#include "UnitTests/TestRuntime.h"

#include <gtest/gtest.h>

namespace Brassladder::Inner {

using namespace std::chrono_literals;
using Common::Endpoint;

namespace {

// A server of tunnels to the upstream "u1" at any endpoint.
Endpoint startTunnels()
{
    TunnelServer::Hooks hooks;
    hooks.allows = [](const auto& upstream) { return upstream.id == "u1"; };
    hooks.connect = [](const auto& endpoint, auto timeout) -> std::optional<TunnelServer::Socket> {
        Common::HttpConnection connection;
        if (isError(connection.connect(endpoint, timeout)))
            return std::nullopt;
        return connection.releaseSocket();
    };
    auto* tunnels = new TunnelServer("Bearer key", std::move(hooks));
    auto* listener = new Common::Listener(testRuntime(), [tunnels](auto socket) { tunnels->serve(std::move(socket)); });
    return { "127.0.0.1", valueOf(listener->listen({ "127.0.0.1", 0 })) };
}

Endpoint startUpstream()
{
    auto server = Common::HttpServer::Builder(testRuntime())
                      .handler([](Common::HttpExchange& exchange) {
                          exchange.respond({ 200, exchange.request().body(), "text/plain", {} });
                      })
                      .build();
    return { "127.0.0.1", valueOf(server)->port() };
}

// Returns the status of the answer to the request for a tunnel, and the response to a request through it.
std::pair<unsigned, Common::Result<Common::HttpClientResponse>> callThrough(
    const Endpoint& relay, const Endpoint& upstream, const std::string& authorization, const std::string& id)
{
    return testRuntime().call([&]() -> std::pair<unsigned, Common::Result<Common::HttpClientResponse>> {
        Common::HttpConnection connection;
        auto status = connection.connectThrough(
            relay, { upstream, authorization, { { std::string(tunnelUpstreamField), id } } }, 1000ms);
        if (isError(status))
            return { connection.relayStatus(), errorOf(status) };
        Common::HttpClientRequest request { "POST", "/", std::string(100'000, 'x') };
        auto response = connection.start(request);
        if (isError(response))
            return { connection.relayStatus(), errorOf(response) };
        valueOf(response).body = valueOf(connection.readRemainingBody(Common::maxBufferedResponseBytes));
        return { connection.relayStatus(), std::move(response) };
    });
}

} // namespace

TEST(TunnelServerTest, ATunnelCarriesARequestAndItsResponse)
{
    auto [status, response] = callThrough(startTunnels(), startUpstream(), "Bearer key", "u1");
    EXPECT_EQ(status, 200U);
    ASSERT_FALSE(isError(response)) << errorOf(response).message;
    EXPECT_EQ(valueOf(response).body, std::string(100'000, 'x'));
}

TEST(TunnelServerTest, OnlyRoutersOfTheFleetOpenTunnels)
{
    EXPECT_EQ(callThrough(startTunnels(), startUpstream(), "Bearer other", "u1").first, 407U);
    EXPECT_EQ(callThrough(startTunnels(), startUpstream(), "", "u1").first, 407U);
}

TEST(TunnelServerTest, TunnelsLeadToListedUpstreamsOnly)
{
    EXPECT_EQ(callThrough(startTunnels(), startUpstream(), "Bearer key", "u2").first, 403U);
}

TEST(TunnelServerTest, AnUpstreamThatTheOtherRouterDoesNotReachEitherIsReported)
{
    auto [status, response] = callThrough(startTunnels(), { "127.0.0.1", 1 }, "Bearer key", "u1");
    EXPECT_EQ(status, 502U);
    ASSERT_TRUE(isError(response));
    EXPECT_EQ(errorOf(response).ran, Common::Ran::No);
}

} // namespace Brassladder::Inner
