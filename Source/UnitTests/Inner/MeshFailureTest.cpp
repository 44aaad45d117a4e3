// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "UnitTests/Inner/MeshNode.h"
#include "UnitTests/Inner/TerminatingPeer.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <numeric>
#include <random>
#include <thread>

// Tests the guarantees of the mesh to the sender when peers terminate at different stages and in different ways.
namespace Brassladder::Inner {

using Stage = TerminatingPeer::Stage;
using Termination = TerminatingPeer::Termination;

namespace {

// Exceeds the socket buffers between a sender and a `TerminatingPeer` that does not read.
constexpr size_t largeBytes = 2 * 1024 * 1024;
// Sequence of items that are sent only to open a connection.
constexpr uint64_t probeSequence = 100;

// Sends a large item and small ones, and sends them again after each disconnection, until the peer has reached its
// stage.
bool sendUntilAtStage(MeshNode& sender, const std::string& id, const TerminatingPeer& peer, uint64_t smallItems)
{
    int disconnections = -1;
    return MeshNode::await([&] {
        if (peer.isAtStage())
            return true;
        if (std::exchange(disconnections, sender.disconnections(id)) == disconnections)
            return false;
        sender.sendLarge(id, largeBytes);
        for (uint64_t sequence = 1; sequence <= smallItems; ++sequence)
            sender.send(id, sequence);
        return false;
    });
}

// A peer that terminates, and its successor at the same address.
struct RestartingPeer {
    RestartingPeer(std::string peerId, const TerminatingPeer::Plan& plan)
        : id(std::move(peerId))
        , beforeRestart(port.port(), plan)
    {
    }

    std::string id;
    ReservedPort port;
    TerminatingPeer beforeRestart;
    int connectionsBefore { 0 };
    MeshNode* afterRestart { nullptr };
};

// One sender and its peers. The seed determines how and in which order the peers terminate.
class RestartingFleet {
public:
    explicit RestartingFleet(unsigned seed)
        : m_random(seed)
        , m_sender(*new MeshNode("sender", "key"))
    {
        auto plans = allPlans();
        std::shuffle(plans.begin(), plans.end(), m_random);
        std::map<std::string, uint16_t> ports;
        for (size_t index = 0; index < peerCount; ++index) {
            auto id = "peer" + std::to_string(index);
            m_peers.push_back(std::make_unique<RestartingPeer>(id, plans[index % plans.size()]));
            ports[id] = m_peers.back()->port.port();
        }
        m_sender.setPeers(ports);
    }

    void distributeMessages()
    {
        std::vector<std::thread> senders;
        for (auto& peer : m_peers)
            senders.emplace_back([&] {
                EXPECT_TRUE(sendUntilAtStage(m_sender, peer->id, peer->beforeRestart, itemsBefore)) << peer->id;
            });
        for (auto& thread : senders)
            thread.join();
    }

    // Terminates the peers in random order while the sender continues to send.
    void terminateAllPeers()
    {
        std::shuffle(m_peers.begin(), m_peers.end(), m_random);
        for (auto& peer : m_peers) {
            sendToAll();
            peer->beforeRestart.end();
            sendToAll();
        }
        for (auto& peer : m_peers) {
            peer->beforeRestart.closeAndWait();
            EXPECT_TRUE(m_sender.awaitDisconnected(peer->id)) << peer->id;
            peer->connectionsBefore = m_sender.connections(peer->id);
        }
    }

    void expectDeliveryAfterRestart()
    {
        for (auto& peer : m_peers)
            peer->afterRestart = new MeshNode(peer->id, "key", peer->port.port());
        for (auto& peer : m_peers) {
            EXPECT_TRUE(m_sender.sendUntilReconnected(peer->id, peer->connectionsBefore, probeSequence)) << peer->id;
            for (uint64_t sequence = firstAfter; sequence < firstAfter + itemsAfter; ++sequence)
                m_sender.send(peer->id, sequence);
        }
        std::vector<uint64_t> expected(itemsAfter);
        std::iota(expected.begin(), expected.end(), firstAfter);
        for (auto& peer : m_peers) {
            MeshNode::await([&] { return receivedAfter(*peer).size() >= itemsAfter; });
            EXPECT_EQ(receivedAfter(*peer), expected) << peer->id;
        }
    }

private:
    static constexpr size_t peerCount = 24;
    static constexpr uint64_t itemsBefore = 5;
    static constexpr uint64_t firstAfter = 1000;
    static constexpr uint64_t itemsAfter = 20;

    std::vector<TerminatingPeer::Plan> allPlans()
    {
        std::uniform_int_distribution<size_t> someBytes(1, largeBytes / 4);
        std::vector<TerminatingPeer::Plan> plans;
        for (auto termination : { Termination::Reset, Termination::Shutdown, Termination::Silence }) {
            plans.push_back({ Stage::Connecting, termination });
            plans.push_back({ Stage::BeforeSettings, termination });
            plans.push_back({ Stage::DuringMessage, termination, someBytes(m_random) });
            plans.push_back({ Stage::AfterMessages, termination, 0, 1 });
            plans.push_back({ Stage::AfterMessages, termination, 0, 1 + itemsBefore });
        }
        return plans;
    }

    void sendToAll()
    {
        for (auto& peer : m_peers)
            m_sender.send(peer->id, probeSequence);
    }

    static std::vector<uint64_t> receivedAfter(const RestartingPeer& peer)
    {
        auto sequences = peer.afterRestart->received();
        std::erase_if(sequences, [](uint64_t sequence) { return sequence < firstAfter; });
        return sequences;
    }

    std::mt19937 m_random;
    MeshNode& m_sender;
    std::vector<std::unique_ptr<RestartingPeer>> m_peers;
};

} // namespace

class MeshFleetFailureTest : public testing::TestWithParam<unsigned> { };
INSTANTIATE_TEST_SUITE_P(Seeds, MeshFleetFailureTest, testing::Range(1U, 6U));

TEST_P(MeshFleetFailureTest, PeerFailureAtAnyStageAffectsNeitherTheSenderNorLaterItems)
{
    RestartingFleet fleet(GetParam());
    fleet.distributeMessages();
    fleet.terminateAllPeers();
    fleet.expectDeliveryAfterRestart();
}

// The address of the peer changes while one item is being written and another one is queued.
TEST(MeshFailureTest, PeerWithANewAddressReceivesOnlyLaterItems)
{
    auto& sender = *new MeshNode("a", "key");
    ReservedPort port;
    TerminatingPeer old(port.port(), { Stage::DuringMessage, Termination::Silence, largeBytes / 4 });
    sender.setPeer(port.port(), "b");
    ASSERT_TRUE(sendUntilAtStage(sender, "b", old, 0));
    sender.send("b", 1);
    int connectionsBefore = sender.connections("b");
    auto& moved = *new MeshNode("b", "key");
    sender.setPeer(moved, "b");
    EXPECT_TRUE(sender.sendUntilReconnected("b", connectionsBefore, probeSequence));
    sender.send("b", 2);
    sender.send("b", 3);
    EXPECT_TRUE(MeshNode::await([&] { return !moved.received().empty() && moved.received().back() == 3; }));
    auto received = moved.received();
    std::erase(received, probeSequence);
    EXPECT_EQ(received, (std::vector<uint64_t> { 2, 3 }));
    EXPECT_TRUE(sender.awaitDisconnected("b"));
}

// The peer is removed while one item is being written and another one is queued.
TEST(MeshFailureTest, RemovedPeerIsDisconnectedAndCanBeAddedAgain)
{
    auto& sender = *new MeshNode("a", "key");
    ReservedPort port;
    TerminatingPeer old(port.port(), { Stage::DuringMessage, Termination::Shutdown, largeBytes / 4 });
    sender.setPeer(port.port(), "b");
    ASSERT_TRUE(sendUntilAtStage(sender, "b", old, 0));
    int disconnectionsBefore = sender.disconnections("b");
    int connectionsBefore = sender.connections("b");
    sender.send("b", 1);
    sender.setPeers(std::map<std::string, uint16_t> {});
    sender.send("b", 2);
    EXPECT_TRUE(MeshNode::await([&] { return sender.disconnections("b") > disconnectionsBefore; }))
        << "the connection to the removed peer is closed";
    old.end();
    old.closeAndWait();
    auto& added = *new MeshNode("b", "key", port.port());
    sender.setPeer(added, "b");
    EXPECT_TRUE(sender.sendUntilReconnected("b", connectionsBefore, probeSequence));
    sender.send("b", 3);
    EXPECT_TRUE(MeshNode::await([&] { return !added.received().empty() && added.received().back() == 3; }));
    auto received = added.received();
    std::erase(received, probeSequence);
    EXPECT_EQ(received, std::vector<uint64_t> { 3 });
}

} // namespace Brassladder::Inner
