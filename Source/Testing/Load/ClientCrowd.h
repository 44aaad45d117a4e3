// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Endpoint.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <sys/epoll.h>
#include <thread>
#include <vector>

namespace Brassladder::Testing::Load {

// Many connections of clients that write raw bytes, driven by a thread of its own. A connection that the server closes
// is opened again. The destructor closes all connections.
class ClientCrowd {
public:
    // What each connection does.
    struct Behavior {
        size_t connections { 0 };
        std::string opening; // Sent as fast as the server reads it.
        std::string repeated; // Sent again and again after that; empty: the client sends nothing more.
        std::chrono::milliseconds pause { 0 }; // Before each repetition.
        bool reads { true }; // False: what the server sends stays unread.
    };

    ClientCrowd(Common::Endpoint, Behavior);
    ~ClientCrowd();
    ClientCrowd(const ClientCrowd&) = delete;
    ClientCrowd& operator=(const ClientCrowd&) = delete;

    // Connections that were opened, those in place of closed ones included.
    size_t opened() const { return m_opened; }
    uint64_t bytesSent() const { return m_bytesSent; }

private:
    using Clock = std::chrono::steady_clock;
    struct Client {
        int socket { -1 };
        bool isConnected { false };
        bool hasSentOpening { false };
        size_t sent { 0 }; // Of the opening or of the current repetition.
        Clock::time_point next; // When to connect again or to send the next repetition.
    };

    void run();
    void handle(const epoll_event&);
    void open(Client&);
    void close(Client&);
    // Both return false if the connection has ended.
    bool write(Client&);
    bool read(Client&) const;
    // Writes and reads what is possible at once.
    void step(Client&, bool isReady);

    Common::Endpoint m_endpoint;
    Behavior m_behavior;
    std::vector<Client> m_clients;
    int m_poll { -1 };
    std::atomic<size_t> m_opened { 0 };
    std::atomic<uint64_t> m_bytesSent { 0 };
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace Brassladder::Testing::Load
