// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Common/Compression.h"
#include "Inner/FrameCodec.h"
#include "RouteServing/Gateway/PeerExchange.h"
#include "RouteServing/Gateway/SnapshotCodec.h"
#include "UnitTests/TestRuntime.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <thread>

// Tests to which peers a hub sends the configuration, and how often.
namespace Brassladder::RouteServing::Gateway {

using boost::asio::ip::tcp;
using Inner::Wire::Knowledge;
using namespace std::chrono_literals;

namespace {

// Waits up to ten seconds for the condition. Returns false if it did not become true.
bool eventually(const std::function<bool()>& condition)
{
    for (int step = 0; step < 2000; ++step) {
        if (condition())
            return true;
        std::this_thread::sleep_for(5ms);
    }
    return false;
}

// Returns a text that begins with the version, which parse() reads. The rest makes the text recognizable in a byte
// stream.
std::string configurationText(uint64_t version)
{
    return std::to_string(version) + " is the version of this configuration";
}

ConfigurationPtr parse(std::string_view text)
{
    Routing::RouteTable::Builder builder;
    builder.version(std::stoul(std::string(text)));
    return std::make_shared<const Configuration>(Configuration { builder.build(), std::string(text) });
}

std::vector<Routing::UpstreamRecord> upstreams(const std::string& id)
{
    return { { id, "shop", { "127.0.0.1", 9 }, "north", 4, false } };
}

// A router that responds to peers and reads no store; the test sets its state. Never destroyed, because its connections
// stay open until the process ends.
struct Hub {
    explicit Hub(uint64_t version)
        : exchange(testRuntime(), { {}, watcher, lease, registry }, "hub", "key")
        , endpoint { "127.0.0.1", valueOf(exchange.listen({ "127.0.0.1", 0 })) }
    {
        setVersion(version);
        watcher.updateUpstreamsFromPeer({ upstreams("w0") }, Common::now());
    }
    void setVersion(uint64_t version)
    {
        testRuntime().call(
            [&] { watcher.updateConfigurationFromPeer(version, configurationText(version), Common::now()); });
    }
    // Receives the list from another router; an earlier one states no versions.
    void setVersions(const std::string& version)
    {
        auto list = upstreams("w0");
        list.front().softwareVersion = version;
        testRuntime().call([&] {
            watcher.updateUpstreamsFromPeer({ list, {}, 0, "", 0, !version.empty() }, Common::now());
        });
    }
    void setUpstream(const std::string& id)
    {
        testRuntime().call([&] { watcher.updateUpstreamsFromPeer({ upstreams(id) }, Common::now()); });
    }

    Routing::FreshnessLease lease { 60s };
    Routing::UpstreamRegistry registry { "north" };
    PlatformWatcher watcher { { { {}, parse }, {}, {} }, { 50ms, 60s, 50ms, 60s, 20ms, 100ms }, lease, registry };
    PeerExchange exchange;
    Common::Endpoint endpoint;
};

// One process of a subscriber; it records the snapshots that it receives. Never destroyed, because its connections stay
// open until the process ends.
class Subscriber {
public:
    explicit Subscriber(const Hub& hub, uint64_t incarnation = 1)
        : m_mesh(testRuntime(), { "peer", incarnation }, "key")
    {
        Inner::Mesh::Hooks hooks;
        hooks.onItem = [this](const auto&, const auto& item) {
            std::lock_guard lock(m_mutex);
            if (item.has_knowledge())
                m_snapshots.push_back(item.knowledge());
        };
        hooks.onConnected = [](const auto&) {};
        hooks.onDisconnected = [](const auto&) {};
        endpoint = { "127.0.0.1", valueOf(m_mesh.listen({ "127.0.0.1", 0 }, std::move(hooks))) };
        m_mesh.setPeers(std::vector<Inner::Peer> { { "hub", hub.endpoint } });
    }

    void request(uint64_t knownVersion)
    {
        Inner::Wire::Item item;
        auto& request = *item.mutable_knowledge_ask();
        request.set_nonce(++m_nonce);
        request.set_endpoint(endpoint.text());
        request.set_configuration_version(knownVersion);
        request.set_reads_packed(acceptsPackedConfiguration);
        request.set_upstreams_digest(upstreamsDigest);
        request.set_reads_upstream_changes(true);
        request.set_lacks_software_versions(lacksSoftwareVersions);
        m_mesh.send("hub", std::move(item));
    }
    void notify(Knowledge notification)
    {
        Inner::Wire::Item item;
        *item.mutable_knowledge() = std::move(notification);
        m_mesh.send("hub", std::move(item));
    }
    bool hasResponse()
    {
        return count([&](const auto& snapshot) { return snapshot.nonce() == m_nonce; });
    }
    // Items are delivered in order: everything that was sent before this response has been received as well.
    bool requestAndWait(uint64_t knownVersion)
    {
        request(knownVersion);
        return eventually([&] { return hasResponse(); });
    }
    size_t notifications()
    {
        return count([](const auto& snapshot) { return snapshot.nonce() == 0; });
    }
    size_t copies(uint64_t version)
    {
        return count([&](const auto& snapshot) { return snapshot.configuration() == configurationText(version); });
    }

    size_t packedCopies(uint64_t version)
    {
        return count([&](const auto& snapshot) {
            return snapshot.packed_configuration() == Common::deflate(configurationText(version));
        });
    }

    size_t completeUpstreamLists()
    {
        return count([](const auto& snapshot) { return snapshot.has_upstreams(); });
    }
    // Lists that state the version of each upstream.
    size_t listsWithVersion(const std::string& version)
    {
        return count([&](const auto& snapshot) {
            auto list = decodeUpstreams(snapshot, Common::now());
            return list && snapshot.has_software_versions()
                && std::all_of(
                    list->begin(), list->end(), [&](const auto& each) { return each.softwareVersion == version; });
        });
    }
    size_t upstreamChanges()
    {
        return count([](const auto& snapshot) { return !snapshot.packed_upstream_changes().empty(); });
    }

    bool acceptsPackedConfiguration { false };
    uint64_t upstreamsDigest { 0 }; // Of the list that requests name.
    bool lacksSoftwareVersions { false }; // As stated by requests.
    Common::Endpoint endpoint; // The hub sends its responses here.

private:
    size_t count(const std::function<bool(const Knowledge&)>& predicate)
    {
        std::lock_guard lock(m_mutex);
        return static_cast<size_t>(std::count_if(m_snapshots.begin(), m_snapshots.end(), predicate));
    }

    std::mutex m_mutex;
    std::vector<Knowledge> m_snapshots;
    Inner::Mesh m_mesh;
    std::atomic<uint64_t> m_nonce { 0 };
};

// Accepts the hub's connections and reads raw bytes without decoding messages.
class RawPeer {
public:
    RawPeer()
        : m_acceptor(m_io, { boost::asio::ip::address_v4::loopback(), 0 })
    {
        m_acceptor.non_blocking(true);
    }
    Common::Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

    // Repeats the request, as routers do, until the text arrives over one connection, and leaves the connection open.
    bool receives(Subscriber& subscriber, const std::string& text)
    {
        m_received.clear();
        return eventually([&] {
            subscriber.request(0);
            readAvailableBytes();
            return m_received.find(text) != std::string::npos;
        });
    }
    void closeConnection() { m_socket.reset(); }

private:
    void readAvailableBytes()
    {
        boost::system::error_code error;
        if (!m_socket) {
            tcp::socket accepted(m_io);
            m_acceptor.accept(accepted, error);
            if (error)
                return;
            m_socket.emplace(std::move(accepted));
            m_socket->non_blocking(true);
        }
        std::array<char, 4096> piece {};
        while (auto size = m_socket->read_some(boost::asio::buffer(piece), error))
            m_received.append(piece.data(), size);
    }

    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor;
    std::optional<tcp::socket> m_socket;
    std::string m_received;
};

Knowledge packedNotification(uint64_t version, const std::string& packed)
{
    Knowledge notification;
    notification.set_configuration_version(version);
    notification.set_packed_configuration(packed);
    return notification;
}

} // namespace

// Guards against sending the configuration, which may be large, with every change of upstreams.
TEST(PeerExchangeSnapshotTest, AChangeOfUpstreamsDoesNotSendTheConfigurationAgain)
{
    auto& hub = *new Hub(1);
    auto& peer = *new Subscriber(hub);
    ASSERT_TRUE(peer.requestAndWait(1));
    ASSERT_TRUE(eventually([&, step = 0]() mutable {
        // A subscriber must keep requesting, or the hub stops notifying it.
        peer.request(1);
        hub.setUpstream("w" + std::to_string(++step));
        return peer.notifications() >= 3;
    })) << "the subscriber is notified of changes";
    EXPECT_EQ(peer.copies(1), 0U) << "a notification must not carry a known configuration";
}

// Guards against a copy of the complete list for each change of an upstream.
TEST(PeerExchangeSnapshotTest, APeerWithAKnownListIsSentOnlyTheDifference)
{
    auto& hub = *new Hub(1);
    auto& peer = *new Subscriber(hub);
    ASSERT_TRUE(peer.requestAndWait(1));
    EXPECT_EQ(peer.completeUpstreamLists(), 1U);
    peer.upstreamsDigest = hub.registry.digest();
    hub.setUpstream("w1");
    ASSERT_TRUE(peer.requestAndWait(1));
    EXPECT_EQ(peer.completeUpstreamLists(), 1U);
    EXPECT_EQ(peer.upstreamChanges(), 1U);
    ASSERT_TRUE(peer.requestAndWait(1));
    EXPECT_EQ(peer.upstreamChanges(), 1U) << "the difference is in flight";
    peer.upstreamsDigest = 12345;
    hub.setUpstream("w2");
    ASSERT_TRUE(peer.requestAndWait(1));
    EXPECT_EQ(peer.completeUpstreamLists(), 2U) << "a list that the hub does not know is replaced";
}

// Guards against a copy in each response: requests carry the old version while the first copy is in flight.
TEST(PeerExchangeSnapshotTest, ANewVersionIsSentOnce)
{
    auto& hub = *new Hub(1);
    auto& peer = *new Subscriber(hub);
    ASSERT_TRUE(peer.requestAndWait(1));
    hub.setVersion(2);
    for (int times = 0; times < 3; ++times)
        ASSERT_TRUE(peer.requestAndWait(1));
    EXPECT_EQ(peer.copies(2), 1U);
    EXPECT_EQ(peer.copies(1), 0U);
}

TEST(PeerExchangeSnapshotTest, ARestartedPeerIsSentTheConfigurationAtOnce)
{
    auto& hub = *new Hub(1);
    auto& peer = *new Subscriber(hub);
    ASSERT_TRUE(peer.requestAndWait(0));
    ASSERT_TRUE(peer.requestAndWait(0));
    EXPECT_EQ(peer.copies(1), 1U) << "the first copy is still in flight";
    auto& restartedPeer = *new Subscriber(hub, 2);
    restartedPeer.endpoint = peer.endpoint;
    restartedPeer.request(0);
    EXPECT_TRUE(eventually([&] { return peer.copies(1) == 2; })) << "the restarted process has received no copy yet";
}

// The hub receives no acknowledgement of a delivery; only the end of the connection shows that a copy may be lost.
TEST(PeerExchangeSnapshotTest, AConfigurationThatWasLostWithItsConnectionIsSentAgain)
{
    auto& hub = *new Hub(1);
    auto& peer = *new Subscriber(hub);
    RawPeer raw;
    peer.endpoint = raw.endpoint();
    ASSERT_TRUE(raw.receives(peer, configurationText(1)));
    raw.closeConnection();
    EXPECT_TRUE(raw.receives(peer, configurationText(1)));
}

// During an update, some routers still run a release that cannot decompress the configuration.
TEST(PeerExchangeSnapshotTest, TheConfigurationIsPackedOnlyForPeersThatSupportIt)
{
    auto& hub = *new Hub(1);
    auto& peer = *new Subscriber(hub);
    ASSERT_TRUE(peer.requestAndWait(0));
    EXPECT_EQ(peer.copies(1), 1U);
    EXPECT_EQ(peer.packedCopies(1), 0U);
    auto& updated = *new Subscriber(hub, 2);
    updated.acceptsPackedConfiguration = true;
    ASSERT_TRUE(updated.requestAndWait(0));
    EXPECT_EQ(updated.copies(1), 0U);
    EXPECT_EQ(updated.packedCopies(1), 1U);
}

TEST(PeerExchangeSnapshotTest, PlainAndPackedConfigurationsAreAccepted)
{
    auto& hub = *new Hub(1);
    auto& peer = *new Subscriber(hub);
    Knowledge plain;
    plain.set_configuration_version(2);
    plain.set_configuration(configurationText(2));
    peer.notify(plain);
    EXPECT_TRUE(eventually([&] { return hub.watcher.activeVersion() == 2; }));
    peer.notify(packedNotification(3, Common::deflate(configurationText(3))));
    EXPECT_TRUE(eventually([&] { return hub.watcher.activeVersion() == 3; }));
}

// Damaged bytes, and small inputs that decompress to more than a frame, must not replace the active configuration or
// stop the exchange.
TEST(PeerExchangeSnapshotTest, AnUnreadableConfigurationIsIgnored)
{
    auto& hub = *new Hub(1);
    auto& peer = *new Subscriber(hub);
    peer.notify(packedNotification(8, "damaged"));
    peer.notify(packedNotification(9, Common::deflate(configurationText(9) + std::string(Inner::maxFrameBytes, 'x'))));
    peer.notify(packedNotification(7, Common::deflate(configurationText(7))));
    EXPECT_TRUE(eventually([&] { return hub.watcher.activeVersion() == 7; }));
}

// Guards against streams that are never continued because an earlier router passed the list on without the versions.
TEST(PeerExchangeSnapshotTest, VersionsThatAnEarlierRouterDidNotSendAreSentOnRequest)
{
    auto& hub = *new Hub(1);
    auto& peer = *new Subscriber(hub);
    peer.upstreamsDigest = hub.registry.digest();
    peer.lacksSoftwareVersions = true;
    hub.setVersions("");
    EXPECT_TRUE(hub.watcher.lacksSoftwareVersions());
    ASSERT_TRUE(peer.requestAndWait(1));
    EXPECT_EQ(peer.completeUpstreamLists(), 0U) << "the hub does not know the versions either";
    hub.setVersions("v1");
    EXPECT_FALSE(hub.watcher.lacksSoftwareVersions());
    EXPECT_EQ(hub.registry.digest(), peer.upstreamsDigest) << "earlier routers compute the same digest";
    ASSERT_TRUE(peer.requestAndWait(1));
    EXPECT_EQ(peer.listsWithVersion("v1"), 1U);
    peer.lacksSoftwareVersions = false;
    ASSERT_TRUE(peer.requestAndWait(1));
    EXPECT_EQ(peer.completeUpstreamLists(), 1U);
}

} // namespace Brassladder::RouteServing::Gateway
