// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Inner/Mesh.h"
#include "UnitTests/TestRuntime.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <future>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

// Tests the guarantees of the mesh when a connection ends: each item is either written to an open connection, or
// dropped before `onDisconnected` is called.
namespace Brassladder::Inner {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

// Upper bound for waits in failing tests.
constexpr auto testTimeout = 20s;
// Exceeds the socket buffers of both sides.
constexpr size_t largeItemBytes = 15 * 1024 * 1024;

Wire::Item numberedItem(uint64_t sequence)
{
    Wire::Item item;
    item.mutable_grant()->set_sequence(sequence);
    return item;
}

Wire::Item largeItem()
{
    Wire::Item item;
    item.mutable_config_state()->add_files()->set_content(std::string(largeItemBytes, 'x'));
    return item;
}

// A peer with the minimum of HTTP/2 that lets the sender write. It reads only on request.
class StalledPeer {
public:
    StalledPeer()
        : m_acceptor(m_io, { boost::asio::ip::address_v4::loopback(), 0 })
        , m_socket(m_io)
    {
        // A small buffer prevents a large item from being written completely. Accepted sockets inherit it.
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    }

    Peer asPeer(const std::string& id) const { return { id, { "127.0.0.1", m_acceptor.local_endpoint().port() } }; }

    // Accepts one connection, and reads so many bytes that the sender must be writing a large item.
    void acceptAndStall()
    {
        m_acceptor.accept(m_socket);
        // HTTP/2 SETTINGS with a large INITIAL_WINDOW_SIZE, and WINDOW_UPDATE for the connection.
        static constexpr char s_openWindows[] = "\0\0\6\4\0\0\0\0\0\0\4\x7f\xff\xff\xff"
                                                "\0\0\4\x8\0\0\0\0\0\x7f\xff\0\0";
        boost::asio::write(m_socket, boost::asio::buffer(s_openWindows, sizeof s_openWindows - 1));
        std::string received(256 * 1024, '\0');
        boost::asio::read(m_socket, boost::asio::buffer(received));
    }
    void end() { m_socket.close(); }
    // Reads in small pieces until the connection ends or `stop` is set, so the write stall timeout does not apply.
    void readSlowly(const std::atomic<bool>& stop)
    {
        boost::system::error_code error;
        std::array<char, 64> piece {};
        while (!error && !stop) {
            m_socket.read_some(boost::asio::buffer(piece), error);
            std::this_thread::sleep_for(5ms);
        }
    }

    // Returns whether a new connection arrives before the timeout.
    bool awaitReconnect()
    {
        bool connected = false;
        m_acceptor.async_accept([&](boost::system::error_code error, const tcp::socket&) { connected = !error; });
        m_io.run_one_for(testTimeout);
        return connected;
    }

private:
    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
};

// A mesh that records the calls of its hooks in order. Never destroyed, because its fibers run until the process ends.
class RecordingNode {
public:
    explicit RecordingNode(const std::string& id, Common::FiberRuntime& runtime = testRuntime())
        : m_mesh(runtime, { id, 1 }, "key")
    {
        Mesh::Hooks hooks;
        hooks.onItem = [this](const Mesh::Sender&, const Wire::Item& item) {
            record("item " + std::to_string(item.grant().sequence()));
        };
        hooks.onConnected = [this](const std::string& peer) { record("connected " + peer); };
        hooks.onDisconnected = [this](const std::string& peer) {
            record("disconnected " + peer);
            onDisconnected();
        };
        m_port = valueOf(m_mesh.listen({ "127.0.0.1", 0 }, hooks));
    }

    Mesh& mesh() { return m_mesh; }
    Peer asPeer(const std::string& id) const { return { id, { "127.0.0.1", m_port } }; }
    void setPeers(std::vector<Peer> peers) { m_mesh.setPeers(peers); }

    bool await(const std::function<bool(const std::vector<std::string>&)>& condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, testTimeout, [&] { return condition(m_events); });
    }
    bool awaitEvent(const std::string& event)
    {
        return await([&](const auto& events) { return std::ranges::find(events, event) != events.end(); });
    }
    std::vector<std::string> events()
    {
        std::lock_guard lock(m_mutex);
        return m_events;
    }

    std::function<void()> onDisconnected { [] {} };

private:
    void record(const std::string& event)
    {
        std::lock_guard lock(m_mutex);
        m_events.push_back(event);
        m_changed.notify_all();
    }

    Mesh m_mesh;
    uint16_t m_port { 0 };
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_events;
};

} // namespace

TEST(MeshConnectionTest, ItemsSentAfterDisconnectNotificationUseANewConnection)
{
    StalledPeer peer;
    auto& sender = *new RecordingNode("a");
    // The hook outlives the test, like the node.
    sender.onDisconnected = [&sender, sent = false]() mutable {
        if (!std::exchange(sent, true))
            sender.mesh().send("b", numberedItem(2));
    };
    sender.setPeers({ peer.asPeer("b") });
    sender.mesh().send("b", largeItem());
    peer.acceptAndStall();
    sender.mesh().send("b", numberedItem(1));
    peer.end();
    ASSERT_TRUE(sender.awaitEvent("disconnected b"));
    EXPECT_TRUE(peer.awaitReconnect());
}

TEST(MeshConnectionTest, ReplacedPeerIsReportedDisconnectedBeforeItsSuccessorConnects)
{
    StalledPeer old;
    auto& sender = *new RecordingNode("a");
    auto& successor = *new RecordingNode("b");
    sender.setPeers({ old.asPeer("b") });
    sender.mesh().send("b", largeItem());
    old.acceptAndStall();
    sender.mesh().send("b", numberedItem(1));
    sender.setPeers({ successor.asPeer("b") });
    sender.mesh().send("b", numberedItem(2));
    ASSERT_TRUE(successor.awaitEvent("item 2"));
    ASSERT_TRUE(sender.awaitEvent("disconnected b"));
    EXPECT_EQ(sender.events(), (std::vector<std::string> { "connected b", "disconnected b", "connected b" }));
    EXPECT_EQ(successor.events(), std::vector<std::string> { "item 2" }) << "items to the replaced peer are not resent";
}

TEST(MeshConnectionTest, BacklogForASlowPeerIsBounded)
{
    StalledPeer peer;
    auto& sender = *new RecordingNode("a");
    sender.setPeers({ peer.asPeer("b") });
    sender.mesh().send("b", largeItem());
    peer.acceptAndStall();
    std::atomic<bool> stop = false;
    std::thread reader([&] { peer.readSlowly(stop); });
    sender.mesh().send("b", largeItem());
    sender.mesh().send("b", largeItem());
    EXPECT_TRUE(sender.awaitEvent("disconnected b"));
    stop = true;
    reader.join();
    peer.end();
}

TEST(MeshConnectionTest, ItemLargerThanThePeersWindowArrivesComplete)
{
    auto& sender = *new RecordingNode("a");
    auto& receiver = *new RecordingNode("b");
    sender.setPeers({ receiver.asPeer("b") });
    sender.mesh().send("b", largeItem());
    sender.mesh().send("b", numberedItem(1));
    EXPECT_TRUE(receiver.awaitEvent("item 1"));
    EXPECT_EQ(receiver.events(), (std::vector<std::string> { "item 0", "item 1" }));
    EXPECT_EQ(sender.events(), std::vector<std::string> { "connected b" });
}

TEST(MeshConnectionTest, ConnectionThatEndsDuringAWriteIsReportedOnce)
{
    StalledPeer peer;
    auto& sender = *new RecordingNode("a");
    auto& successor = *new RecordingNode("b");
    sender.setPeers({ peer.asPeer("b") });
    sender.mesh().send("b", largeItem());
    peer.acceptAndStall();
    for (uint64_t sequence = 1; sequence <= 10; ++sequence)
        sender.mesh().send("b", numberedItem(sequence));
    peer.end();
    ASSERT_TRUE(sender.awaitEvent("disconnected b"));
    sender.setPeers({ successor.asPeer("b") });
    sender.mesh().send("b", numberedItem(11));
    ASSERT_TRUE(successor.awaitEvent("item 11"));
    EXPECT_EQ(sender.events(), (std::vector<std::string> { "connected b", "disconnected b", "connected b" }));
}

// The peer models a stopped process, whose kernel still accepts connections and acknowledges bytes.
TEST(MeshConnectionTest, PeerThatReadsNothingIsReportedDisconnected)
{
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, { boost::asio::ip::address_v4::loopback(), 0 });
    auto& sender = *new RecordingNode("a");
    sender.setPeers({ { "b", { "127.0.0.1", acceptor.local_endpoint().port() } } });
    // Exceeds the default HTTP/2 window (65,535 bytes) and fits into the kernel's buffers.
    static constexpr size_t itemBytes = 100 * 1024;
    Wire::Item item;
    item.mutable_config_state()->add_files()->set_content(std::string(itemBytes, 'x'));
    sender.mesh().send("b", item);
    EXPECT_TRUE(sender.awaitEvent("disconnected b"));
}

TEST(MeshConnectionTest, HooksRunInOrderWhenAPeerIsRemovedAndAddedAgain)
{
    for (size_t busyThread : { 0U, 1U }) {
        auto& runtime = Common::FiberRuntime::start(2);
        auto& sender = *new RecordingNode("a", runtime);
        auto& receiver = *new RecordingNode("b");
        sender.setPeers({ receiver.asPeer("b") });
        sender.mesh().send("b", numberedItem(1));
        ASSERT_TRUE(receiver.awaitEvent("item 1"));
        std::promise<void> resumeRequested;
        runtime.spawnOn(busyThread, [resumed = resumeRequested.get_future().share()] { resumed.wait(); });
        sender.setPeers({});
        sender.setPeers({ receiver.asPeer("b") });
        sender.mesh().send("b", numberedItem(2));
        // If the links were on two threads, the link on the idle thread would run first.
        std::this_thread::sleep_for(100ms);
        resumeRequested.set_value();
        ASSERT_TRUE(receiver.awaitEvent("item 2"));
        ASSERT_TRUE(sender.awaitEvent("disconnected b"));
        EXPECT_EQ(sender.events(), (std::vector<std::string> { "connected b", "disconnected b", "connected b" }));
    }
}

// The backlog exceeds its limit while connection attempts fail. Only one fiber may send, over one connection.
TEST(MeshConnectionTest, LargeBacklogDuringAFailingConnectOpensOneConnection)
{
    auto& runtime = Common::FiberRuntime::start(1);
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, tcp::v4());
    acceptor.bind({ boost::asio::ip::address_v4::loopback(), 0 }); // Not listening yet, so connections are refused.
    auto& sender = *new RecordingNode("a", runtime);
    auto hasConnected = std::make_shared<std::atomic<bool>>(false);
    sender.onDisconnected = [&sender, hasConnected] {
        if (!*hasConnected)
            sender.mesh().send("b", numberedItem(9));
    };
    sender.setPeers({ { "b", { "127.0.0.1", acceptor.local_endpoint().port() } } });
    for (int round = 0; round < 5; ++round) {
        sender.mesh().send("b", largeItem());
        sender.mesh().send("b", largeItem());
        std::this_thread::sleep_for(5ms);
    }
    acceptor.listen();
    ASSERT_TRUE(sender.awaitEvent("connected b"));
    *hasConnected = true;
    auto events = sender.events();
    EXPECT_EQ(std::ranges::count(events, "connected b"), 1);
    EXPECT_EQ(events.back(), "connected b");
}

} // namespace Brassladder::Inner
