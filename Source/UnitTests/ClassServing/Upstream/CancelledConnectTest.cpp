// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "ClassServing/Upstream/EngineStream.h"
#include "ClassServing/Upstream/ServiceCall.h"
#include "UnitTests/TestRuntime.h"

#include <gtest/gtest.h>

namespace Brassladder::ClassServing::Upstream {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

// An upstream that never responds. The kernel accepts its connections.
class CancelledConnectTest : public testing::Test {
protected:
    Common::Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

    // Returns all bytes received on the only connection, which the client has closed by now.
    std::string received()
    {
        tcp::socket socket = m_acceptor.accept();
        std::string bytes;
        boost::system::error_code error;
        boost::asio::read(socket, boost::asio::dynamic_buffer(bytes), error);
        return bytes;
    }

    static constexpr UpstreamTimeouts timeouts { 3000ms, 300ms };
    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor { m_io, { boost::asio::ip::address_v4::loopback(), 0 } };
};

} // namespace

// The cancelling fiber runs as soon as the starting fiber suspends, which happens during the connect.
TEST_F(CancelledConnectTest, CancelDuringConnectSendsNothingToTheEngine)
{
    auto status = testRuntime().call([&] {
        auto stream = std::make_shared<EngineStream>(endpoint(), "request-1");
        Common::FiberRuntime::spawnOnCurrentThread([stream] { stream->cancel(); });
        return stream->start("{}", 0, true, timeouts);
    });
    EXPECT_TRUE(isError(status));
    EXPECT_EQ(received(), "");
}

TEST_F(CancelledConnectTest, CancelDuringConnectSendsNothingToTheService)
{
    auto answer = testRuntime().call([&] {
        auto call = std::make_shared<ServiceCall>(endpoint(), "request-1");
        Common::FiberRuntime::spawnOnCurrentThread([call] { call->cancel(); });
        return call->run({ boost::beast::http::verb::get, "/x", 11 }, "/x", true, timeouts);
    });
    EXPECT_TRUE(isError(answer));
    EXPECT_EQ(received(), "");
}

} // namespace Brassladder::ClassServing::Upstream
