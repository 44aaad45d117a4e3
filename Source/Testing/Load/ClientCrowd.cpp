// SPDX-License-Identifier: Apache-2.0
#include "Common/Precompiled.h"

#include "Testing/Load/ClientCrowd.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Brassladder::Testing::Load {

using namespace std::chrono_literals;

// Before a closed connection is opened again.
static constexpr auto reopenDelay = 100ms;
// Of one write; bounds the time that one client takes before the others have their turn.
static constexpr size_t maxWriteBytes = size_t { 256 } * 1024;
// Connections that are opened before the others have their turn.
static constexpr size_t maxOpensInTurn = 200;
static constexpr int pollMs = 5;

ClientCrowd::ClientCrowd(Common::Endpoint endpoint, Behavior behavior)
    : m_endpoint(std::move(endpoint))
    , m_behavior(std::move(behavior))
    , m_clients(m_behavior.connections)
    , m_poll(epoll_create1(EPOLL_CLOEXEC))
    , m_thread([this] { run(); })
{
}

ClientCrowd::~ClientCrowd()
{
    m_stopping = true;
    m_thread.join();
    for (auto& client : m_clients)
        close(client);
    ::close(m_poll);
}

void ClientCrowd::run()
{
    std::array<epoll_event, 256> events {};
    while (!m_stopping) {
        int count = epoll_wait(m_poll, events.data(), events.size(), pollMs);
        for (int index = 0; index < count; ++index)
            handle(events[static_cast<size_t>(index)]);
        size_t opens = 0;
        for (auto& client : m_clients) {
            if (client.socket >= 0)
                step(client, false);
            else if (Clock::now() >= client.next && ++opens <= maxOpensInTurn)
                open(client);
        }
    }
}

void ClientCrowd::handle(const epoll_event& event)
{
    auto& client = m_clients[event.data.u32];
    if (event.events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
        return close(client);
    client.isConnected = true;
    step(client, true);
}

void ClientCrowd::open(Client& client)
{
    client = Client {};
    client.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    client.next = Clock::now() + reopenDelay;
    if (client.socket < 0)
        return;
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_endpoint.port);
    inet_pton(AF_INET, m_endpoint.address.c_str(), &address.sin_addr);
    if (connect(client.socket, reinterpret_cast<sockaddr*>(&address), sizeof address) && errno != EINPROGRESS)
        return close(client);
    epoll_event event {};
    event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
    event.data.u32 = static_cast<uint32_t>(&client - m_clients.data());
    epoll_ctl(m_poll, EPOLL_CTL_ADD, client.socket, &event);
    ++m_opened;
}

void ClientCrowd::close(Client& client)
{
    if (client.socket >= 0)
        ::close(client.socket);
    client = Client {};
    client.next = Clock::now() + reopenDelay;
}

bool ClientCrowd::write(Client& client)
{
    while (true) {
        const auto& text = client.hasSentOpening ? m_behavior.repeated : m_behavior.opening;
        if (client.sent == text.size()) {
            if (m_behavior.repeated.empty())
                return true;
            client.hasSentOpening = true;
            client.sent = 0;
            client.next = Clock::now() + m_behavior.pause;
            if (m_behavior.pause.count() > 0 || &text == &m_behavior.repeated)
                return true;
            continue;
        }
        auto bytes = std::min(text.size() - client.sent, maxWriteBytes);
        auto written = send(client.socket, text.data() + client.sent, bytes, MSG_NOSIGNAL);
        if (written < 0)
            return errno == EAGAIN;
        client.sent += static_cast<size_t>(written);
        m_bytesSent += static_cast<uint64_t>(written);
        if (bytes == maxWriteBytes)
            return true;
    }
}

bool ClientCrowd::read(Client& client) const
{
    std::array<char, 4096> buffer {};
    while (m_behavior.reads) {
        auto received = recv(client.socket, buffer.data(), buffer.size(), 0);
        if (received == 0)
            return false;
        if (received < 0)
            return errno == EAGAIN;
    }
    return true;
}

void ClientCrowd::step(Client& client, bool isReady)
{
    if (client.socket < 0 || !client.isConnected)
        return;
    bool isDue = !client.hasSentOpening || client.sent > 0 || Clock::now() >= client.next;
    bool isOpen = (!isDue || write(client)) && (!isReady || read(client));
    if (!isOpen)
        close(client);
}

} // namespace Brassladder::Testing::Load
