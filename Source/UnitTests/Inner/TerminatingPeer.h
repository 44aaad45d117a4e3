// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Precompiled.h"

#include "Inner/FrameCodec.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <future>
#include <memory>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace Brassladder::Inner {

// Reserves a loopback port for a peer that restarts at the same address. Both sockets set SO_REUSEADDR; connections are
// refused until the peer listens.
class ReservedPort {
public:
    ReservedPort()
        : m_socket(m_io, boost::asio::ip::tcp::v4())
    {
        m_socket.set_option(boost::asio::socket_base::reuse_address(true));
        m_socket.bind({ boost::asio::ip::address_v4::loopback(), 0 });
        m_port = m_socket.local_endpoint().port();
    }
    uint16_t port() const { return m_port; }

private:
    boost::asio::io_context m_io;
    boost::asio::ip::tcp::socket m_socket;
    uint16_t m_port { 0 };
};

// A peer that accepts connections of meshes and reads until one of them reaches the planned stage. When the test calls
// `end`, it ends all connections in the planned way. If a connection breaks before the stage is reached, for example
// under load, another one may reach it. Runs on its own threads.
class TerminatingPeer {
public:
    enum class Stage {
        Connecting, // Connections are refused, or with `Silence` never accepted.
        BeforeSettings,
        DuringMessage, // `Plan::bytes` of the body have been read.
        AfterMessages, // `Plan::items` items have been read.
    };
    enum class Termination {
        Reset, // The connection is reset, as when a process with unread bytes is killed.
        Shutdown, // The sending side is shut down, as when a process without unread bytes is killed.
        Silence, // The peer reads nothing more, as when a process is stopped; `closeAndWait` closes the connection.
    };
    struct Plan {
        Stage stage { Stage::DuringMessage };
        Termination termination { Termination::Shutdown };
        size_t bytes { 0 };
        size_t items { 0 };
    };

    TerminatingPeer(uint16_t port, const Plan& plan)
        : m_plan(plan)
        , m_acceptor(m_io)
        , m_probe(m_io)
    {
        if (!mustListen()) {
            m_isAtStage = true;
            return;
        }
        listen(port);
        m_thread = std::thread([this] { run(); });
    }
    ~TerminatingPeer()
    {
        end();
        closeAndWait();
    }
    TerminatingPeer(const TerminatingPeer&) = delete;
    TerminatingPeer& operator=(const TerminatingPeer&) = delete;

    bool isAtStage() const { return m_isAtStage; }
    // Ends the connections as planned.
    void end()
    {
        if (!std::exchange(m_isEnding, true))
            m_endRequested.set_value();
    }
    // With `Silence`, closes the connections. Blocks until they are closed.
    void closeAndWait()
    {
        if (!std::exchange(m_isClosing, true))
            m_closeRequested.set_value();
        // If the stage was not reached, the thread may still wait for a connection.
        if (!isAtStage())
            stopAccepting();
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    using tcp = boost::asio::ip::tcp;
    using MaximumSegment = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
    // Limits the data in the socket buffers to a few hundred KB, as on a real network. With loopback segments of 64 KB,
    // a write blocks only after megabytes.
    static constexpr int segmentBytes = 1400;
    static constexpr int receiveBytes = 16 * 1024;
    static constexpr size_t prefaceBytes = 24; // RFC 9113, 3.4.
    static constexpr size_t frameHeaderBytes = 9; // RFC 9113, 4.1.
    static constexpr uint8_t dataFrame = 0;

    struct Connection {
        explicit Connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        tcp::socket socket;
        FrameDecoder decoder;
        size_t bytes { 0 };
        size_t items { 0 };
        std::thread reader;
    };

    bool mustListen() const { return m_plan.stage != Stage::Connecting || m_plan.termination == Termination::Silence; }

    void listen(uint16_t port)
    {
        m_acceptor.open(tcp::v4());
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        if (m_plan.stage != Stage::AfterMessages) {
            m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(receiveBytes));
            m_acceptor.set_option(MaximumSegment(segmentBytes));
        }
        m_acceptor.bind({ boost::asio::ip::address_v4::loopback(), port });
        m_acceptor.listen(m_plan.stage == Stage::Connecting ? 0 : 1);
        // With a backlog of 0, one pending connection blocks all others.
        if (m_plan.stage == Stage::Connecting)
            m_probe.connect(m_acceptor.local_endpoint());
    }
    void stopAccepting() { ::shutdown(m_acceptor.native_handle(), SHUT_RDWR); }

    void run()
    {
        if (m_plan.stage == Stage::Connecting) {
            m_isAtStage = true;
        } else {
            acceptUntilAtStage();
            m_acceptor.close();
        }
        m_endRequested.get_future().wait();
        finish();
    }

    // Returns when a connection has reached the stage, or when the acceptor was shut down.
    void acceptUntilAtStage()
    {
        while (true) {
            boost::system::error_code error;
            tcp::socket socket(m_io);
            m_acceptor.accept(socket, error);
            if (error)
                return;
            auto& connection = *m_connections.emplace_back(std::make_unique<Connection>(std::move(socket)));
            connection.reader = std::thread([this, &connection] {
                if (reachStage(connection))
                    recordStage(connection);
            });
        }
    }

    void recordStage(Connection& connection)
    {
        Connection* none = nullptr;
        if (!m_connectionAtStage.compare_exchange_strong(none, &connection))
            return;
        m_isAtStage = true;
        stopAccepting();
    }

    bool reachStage(Connection& connection)
    {
        std::array<char, prefaceBytes> preface {};
        boost::system::error_code error;
        boost::asio::read(connection.socket, boost::asio::buffer(preface), error);
        if (m_plan.stage == Stage::BeforeSettings)
            return !error;
        // SETTINGS with the largest INITIAL_WINDOW_SIZE, and WINDOW_UPDATE for the connection.
        static constexpr char openWindows[] = "\0\0\6\4\0\0\0\0\0\0\4\x7f\xff\xff\xff"
                                              "\0\0\4\x8\0\0\0\0\0\x7f\xff\0\0";
        if (!error)
            boost::asio::write(connection.socket, boost::asio::buffer(openWindows, sizeof openWindows - 1), error);
        while (!error && (connection.bytes < m_plan.bytes || connection.items < m_plan.items))
            readFrame(connection, error);
        return !error;
    }

    static void readFrame(Connection& connection, boost::system::error_code& error)
    {
        std::array<uint8_t, frameHeaderBytes> header {};
        boost::asio::read(connection.socket, boost::asio::buffer(header), error);
        if (error)
            return;
        std::string payload((size_t { header[0] } << 16) + (size_t { header[1] } << 8) + header[2], '\0');
        boost::asio::read(connection.socket, boost::asio::buffer(payload), error);
        if (error || header[3] != dataFrame)
            return;
        connection.bytes += payload.size();
        auto frames = connection.decoder.feed(payload);
        if (isError(frames))
            return;
        for (const auto& frame : valueOf(frames))
            connection.items += static_cast<size_t>(frame.items_size());
    }

    void finish()
    {
        for (auto& connection : m_connections) {
            // Ends the reads of a connection that has not reached the stage.
            if (connection.get() != m_connectionAtStage)
                ::shutdown(connection->socket.native_handle(), SHUT_RD);
            connection->reader.join();
        }
        if (m_plan.termination == Termination::Silence)
            m_closeRequested.get_future().wait();
        boost::system::error_code ignored;
        for (auto& connection : m_connections) {
            if (m_plan.termination == Termination::Reset)
                connection->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            if (m_plan.termination == Termination::Shutdown)
                shutDown(connection->socket);
            connection->socket.close(ignored);
        }
        m_acceptor.close(ignored);
    }

    // Shuts down the sending side and reads until the other side closes.
    static void shutDown(tcp::socket& socket)
    {
        boost::system::error_code error;
        socket.shutdown(tcp::socket::shutdown_send, error);
        std::string ignored(receiveBytes, '\0');
        while (!error)
            socket.read_some(boost::asio::buffer(ignored), error);
    }

    Plan m_plan;
    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor;
    tcp::socket m_probe; // Fills the backlog of a peer that accepts no connection.
    std::vector<std::unique_ptr<Connection>> m_connections;
    std::atomic<Connection*> m_connectionAtStage { nullptr };
    std::atomic<bool> m_isAtStage { false };
    std::promise<void> m_endRequested;
    std::promise<void> m_closeRequested;
    bool m_isEnding { false };
    bool m_isClosing { false };
    std::thread m_thread;
};

} // namespace Brassladder::Inner
