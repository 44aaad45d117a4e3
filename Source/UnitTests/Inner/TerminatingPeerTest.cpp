// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "UnitTests/Inner/MeshNode.h"
#include "UnitTests/Inner/TerminatingPeer.h"

#include <gtest/gtest.h>

namespace Brassladder::Inner {

// Guards against a peer that serves only its first sender: the sender that it waits for would never get through.
TEST(TerminatingPeerTest, AnIdleConnectionDoesNotKeepOtherSendersOut)
{
    static constexpr size_t largeBytes = 256 * 1024;
    ReservedPort port;
    TerminatingPeer peer(
        port.port(), { TerminatingPeer::Stage::DuringMessage, TerminatingPeer::Termination::Shutdown, largeBytes / 4 });
    auto& idle = *new MeshNode("idle", "key");
    idle.setPeer(port.port(), "peer");
    idle.send("peer", 1);
    ASSERT_TRUE(MeshNode::await([&] { return idle.connections("peer") == 1; }));
    auto& sender = *new MeshNode("sender", "key");
    sender.setPeer(port.port(), "peer");
    sender.sendLarge("peer", largeBytes);
    EXPECT_TRUE(MeshNode::await([&] { return peer.isAtStage(); }));
    // Both connections end with the peer.
    peer.end();
    EXPECT_TRUE(sender.awaitDisconnected("peer"));
    EXPECT_TRUE(idle.awaitDisconnected("peer"));
}

// Guards against a test that hangs instead of failing when the peer never reaches its stage.
TEST(TerminatingPeerTest, ClosesConnectionsThatNeverReachTheStage)
{
    ReservedPort port;
    TerminatingPeer peer(
        port.port(), { TerminatingPeer::Stage::DuringMessage, TerminatingPeer::Termination::Reset, 1024 * 1024 });
    auto& sender = *new MeshNode("sender", "key");
    sender.setPeer(port.port(), "peer");
    sender.send("peer", 1);
    ASSERT_TRUE(MeshNode::await([&] { return sender.connections("peer") == 1; }));
    peer.end();
    peer.closeAndWait();
    EXPECT_TRUE(sender.awaitDisconnected("peer"));
    EXPECT_FALSE(peer.isAtStage());
}

} // namespace Brassladder::Inner
