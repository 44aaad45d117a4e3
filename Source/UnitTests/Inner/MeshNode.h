// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Inner/Mesh.h"
#include "UnitTests/TestRuntime.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Brassladder::Inner {

// A mesh that records received items and connections. Never destroyed, because its fibers run until the process ends.
class MeshNode {
public:
    MeshNode(const std::string& id, std::string_view key, uint16_t port = 0)
        : m_mesh(testRuntime(), { id, 1 }, key)
    {
        Mesh::Hooks hooks;
        hooks.onItem = [this](const Mesh::Sender&, const Wire::Item& item) {
            std::lock_guard lock(m_mutex);
            m_sequences.push_back(item.grant().sequence());
        };
        hooks.onConnected = [this](const std::string& peer) { count(m_connected, peer); };
        hooks.onDisconnected = [this](const std::string& peer) { count(m_disconnected, peer); };
        m_port = valueOf(m_mesh.listen({ "127.0.0.1", port }, hooks));
    }

    uint16_t port() const { return m_port; }

    void setPeer(const MeshNode& other, const std::string& id) { setPeer(other.m_port, id); }
    void setPeer(uint16_t otherPort, const std::string& id) { setPeers({ { id, otherPort } }); }
    // Replaces all peers.
    void setPeers(const std::map<std::string, uint16_t>& portOfPeer)
    {
        std::vector<Peer> peers;
        peers.reserve(portOfPeer.size());
        for (const auto& [id, port] : portOfPeer)
            peers.push_back({ id, { "127.0.0.1", port } });
        m_mesh.setPeers(peers);
    }

    void sendLarge(const std::string& to, size_t bytes)
    {
        Wire::Item item;
        item.mutable_config_state()->add_files()->set_content(std::string(bytes, 'x'));
        m_mesh.send(to, item);
    }
    void send(const std::string& to, uint64_t sequence)
    {
        Wire::Item item;
        item.mutable_grant()->set_sequence(sequence);
        m_mesh.send(to, item);
    }

    std::vector<uint64_t> received()
    {
        std::lock_guard lock(m_mutex);
        return m_sequences;
    }
    int connections(const std::string& peer)
    {
        std::lock_guard lock(m_mutex);
        return m_connected[peer];
    }
    int disconnections(const std::string& peer)
    {
        std::lock_guard lock(m_mutex);
        return m_disconnected[peer];
    }

    bool awaitCount(size_t count)
    {
        return await([&] { return received().size() >= count; });
    }
    bool awaitDisconnected(const std::string& peer)
    {
        return await([&] { return disconnections(peer) > 0; });
    }
    // Sends the item until a new connection opens. Items sent after that arrive.
    bool sendUntilReconnected(const std::string& peer, int connectionsBefore, uint64_t sequence)
    {
        return await([&] {
            send(peer, sequence);
            return connections(peer) > connectionsBefore;
        });
    }
    // Returns false if the condition does not hold within ten seconds.
    static bool await(const std::function<bool()>& condition)
    {
        static constexpr int steps = 5000;
        for (int step = 0; step < steps; ++step) {
            if (condition())
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return false;
    }

private:
    void count(std::map<std::string, int>& counts, const std::string& peer)
    {
        std::lock_guard lock(m_mutex);
        ++counts[peer];
    }

    Mesh m_mesh;
    uint16_t m_port { 0 };
    std::mutex m_mutex; // Guards the members below.
    std::vector<uint64_t> m_sequences;
    std::map<std::string, int> m_connected;
    std::map<std::string, int> m_disconnected;
};

} // namespace Brassladder::Inner
