// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "UnitTests/Inner/MeshNode.h"

#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace Brassladder::Inner {

using namespace std::chrono_literals;

TEST(MeshTest, ItemsArriveInOrder)
{
    auto& sender = *new MeshNode("a", "key");
    auto& receiver = *new MeshNode("b", "key");
    sender.setPeer(receiver, "b");
    static constexpr uint64_t count = 5000;
    for (uint64_t sequence = 0; sequence < count; ++sequence)
        sender.send("b", sequence);
    ASSERT_TRUE(receiver.awaitCount(count));
    auto sequences = receiver.received();
    for (uint64_t sequence = 0; sequence < count; ++sequence)
        EXPECT_EQ(sequences[sequence], sequence);
}

TEST(MeshTest, PeerWithoutTheFleetKeyIsRefusedAndItsItemsAreDropped)
{
    auto& unauthorizedNode = *new MeshNode("x", "another key");
    auto& receiver = *new MeshNode("b", "key");
    unauthorizedNode.setPeer(receiver, "b");
    unauthorizedNode.send("b", 1);
    EXPECT_TRUE(unauthorizedNode.awaitDisconnected("b"));
    auto& authorizedNode = *new MeshNode("a", "key");
    authorizedNode.setPeer(receiver, "b");
    authorizedNode.send("b", 2);
    ASSERT_TRUE(receiver.awaitCount(1));
    EXPECT_EQ(receiver.received(), std::vector<uint64_t> { 2 });
}

// Guards against a crash when a connection ends while one item is being written and another one is queued.
TEST(MeshTest, SenderSurvivesAConnectionThatEndsDuringAWrite)
{
    using boost::asio::ip::tcp;
    auto& sender = *new MeshNode("a", "key");
    std::promise<uint16_t> port;
    std::promise<void> isWriting;
    std::promise<void> endRequested;
    auto endRequestedFuture = endRequested.get_future();
    std::thread peer([&] {
        boost::asio::io_context io;
        tcp::acceptor acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 });
        // A small buffer prevents the sender's write from completing.
        acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        port.set_value(acceptor.local_endpoint().port());
        tcp::socket socket(io);
        acceptor.accept(socket);
        // HTTP/2 SETTINGS with a large INITIAL_WINDOW_SIZE, and WINDOW_UPDATE for the connection.
        static constexpr char s_openWindows[] = "\0\0\6\4\0\0\0\0\0\0\4\x7f\xff\xff\xff"
                                                "\0\0\4\x8\0\0\0\0\0\x7f\xff\0\0";
        boost::asio::write(socket, boost::asio::buffer(s_openWindows, sizeof s_openWindows - 1));
        // Exceeds the preface and a small frame, so the sender must be writing the large frame.
        std::string received(256 * 1024, '\0');
        boost::asio::read(socket, boost::asio::buffer(received));
        isWriting.set_value();
        endRequestedFuture.wait();
        socket.shutdown(tcp::socket::shutdown_send);
        // Stays open until the sender closes the connection.
        boost::system::error_code error;
        while (!error)
            socket.read_some(boost::asio::buffer(received), error);
    });
    sender.setPeer(port.get_future().get(), "b");
    sender.sendLarge("b", 15 * 1024 * 1024);
    isWriting.get_future().wait();
    sender.send("b", 1);
    endRequested.set_value();
    EXPECT_TRUE(sender.awaitDisconnected("b"));
    peer.join();
    auto& receiver = *new MeshNode("b", "key");
    sender.setPeer(receiver, "b");
    sender.send("b", 2);
    EXPECT_TRUE(receiver.awaitCount(1)) << "the sender still delivers items";
}

// Guards against a connection that stays open after a protocol error of the peer while all its data is dropped.
TEST(MeshTest, ProtocolErrorClosesTheConnection)
{
    using boost::asio::ip::tcp;
    auto& receiver = *new MeshNode("b", "key");
    boost::asio::io_context io;
    tcp::socket peer(io);
    peer.connect({ boost::asio::ip::address_v4::loopback(), receiver.port() });
    // SETTINGS, followed by DATA for stream 0, which is a connection error (RFC 9113, 6.1).
    static constexpr char s_frames[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
                                       "\0\0\0\4\0\0\0\0\0"
                                       "\0\0\1\0\0\0\0\0\0x";
    boost::asio::write(peer, boost::asio::buffer(s_frames, sizeof s_frames - 1));
    auto end = std::async(std::launch::async, [&] {
        std::string received;
        boost::system::error_code error;
        boost::asio::read(peer, boost::asio::dynamic_buffer(received), error);
    });
    EXPECT_EQ(end.wait_for(10s), std::future_status::ready);
    peer.shutdown(tcp::socket::shutdown_both);
}

TEST(MeshTest, MalformedInputClosesOnlyItsOwnConnection)
{
    auto& receiver = *new MeshNode("b", "key");
    for (const std::string& garbage : { std::string("GET / HTTP/1.1\r\n\r\n"), std::string(4096, '\xff'),
             std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\1\2\3\4\5\6\7\10\11") }) {
        auto closed = testRuntime().call([&] {
            boost::beast::tcp_stream stream(Common::FiberRuntime::currentContext());
            stream.expires_after(2s);
            Common::awaitIo([&](auto handler) {
                stream.async_connect({ boost::asio::ip::address_v4::loopback(), receiver.port() }, std::move(handler));
            });
            Common::awaitIo([&](auto handler) {
                boost::asio::async_write(stream, boost::asio::buffer(garbage), std::move(handler));
            });
            stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send);
            std::string answer(4096, '\0');
            return Common::awaitIo([&](auto handler) {
                boost::asio::async_read(stream, boost::asio::buffer(answer), std::move(handler));
            }).error;
        });
        EXPECT_NE(closed, boost::beast::error::timeout);
    }
    auto& authorizedNode = *new MeshNode("a", "key");
    authorizedNode.setPeer(receiver, "b");
    authorizedNode.send("b", 3);
    EXPECT_TRUE(receiver.awaitCount(1));
}

} // namespace Brassladder::Inner
