// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Precompiled.h"

#include "Inner/FrameCodec.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <future>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <thread>

namespace Brassladder::Inner {

// Keeps a port on loopback for one that listens on it later, so that a peer comes back at the address it had. Both set
// SO_REUSEADDR; until the other one listens, connections are refused.
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

// Stands in for a peer that takes a connection of a mesh and ends it: at a stage that the test names, in a way that it
// names, when it says so. A connection that breaks off before, as it may beside load, does not count. Runs on a plain
// thread of its own.
class TerminatingPeer {
public:
    enum class Stage {
        Connecting, // Refused, or with `Silence` never accepted.
        BeforeSettings,
        DuringMessage, // `bytes` of the body are read.
        AfterMessages, // `items` are read.
    };
    enum class Termination {
        Reset, // As of a process that is killed with unread bytes.
        Shutdown, // As of a process that is killed with none, while the other side may still write.
        Silence, // Nothing is read any more, as of a process that is stopped; it is killed in the end.
    };
    struct Plan {
        Stage stage { Stage::DuringMessage };
        Termination ending { Termination::Shutdown };
        size_t bytes { 0 };
        size_t items { 0 };
    };

    TerminatingPeer(uint16_t port, const Plan& plan)
        : m_plan(plan)
        , m_acceptor(m_io)
        , m_socket(m_io)
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
        awaitEnd();
    }
    TerminatingPeer(const TerminatingPeer&) = delete;
    TerminatingPeer& operator=(const TerminatingPeer&) = delete;

    bool isAtStage() const { return m_isAtStage; }
    // Lets the connection end as planned.
    void end()
    {
        if (!std::exchange(m_isEnding, true))
            m_mayEnd.set_value();
    }
    // Kills the silent ones too. Blocks until the connection is gone.
    void awaitEnd()
    {
        if (!std::exchange(m_isKilled, true))
            m_mayDie.set_value();
        // After a failure it may still wait for a connection.
        if (!isAtStage())
            ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        if (m_thread.joinable())
            m_thread.join();
    }

private:
    using tcp = boost::asio::ip::tcp;
    using MaximumSegment = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
    // With loopback's segments of 64 KB the kernel takes megabytes before a write has to wait; with these it takes a
    // few hundred KB at most, as on a real network.
    static constexpr int segmentBytes = 1400;
    static constexpr int receiveBytes = 16 * 1024;
    static constexpr size_t prefaceBytes = 24; // RFC 9113, 3.4.
    static constexpr size_t frameHeaderBytes = 9; // RFC 9113, 4.1.
    static constexpr uint8_t dataFrame = 0;

    bool mustListen() const { return m_plan.stage != Stage::Connecting || m_plan.ending == Termination::Silence; }

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
        // With a backlog of 0, one that waits to be accepted keeps all others out.
        if (m_plan.stage == Stage::Connecting)
            m_socket.connect(m_acceptor.local_endpoint());
    }

    void run()
    {
        if (m_plan.stage == Stage::Connecting) {
            m_isAtStage = true;
        } else {
            m_isAtStage = acceptUntilAtStage();
            m_acceptor.close();
        }
        m_mayEnd.get_future().wait();
        finish();
    }

    // False when it cannot be reached any more.
    bool acceptUntilAtStage()
    {
        while (true) {
            boost::system::error_code error;
            m_socket.close(error);
            m_acceptor.accept(m_socket, error);
            if (error)
                return false;
            if (reachStage())
                return true;
        }
    }

    bool reachStage()
    {
        m_decoder = {};
        m_bytes = 0;
        m_items = 0;
        std::array<char, prefaceBytes> preface {};
        boost::system::error_code error;
        boost::asio::read(m_socket, boost::asio::buffer(preface), error);
        if (m_plan.stage == Stage::BeforeSettings)
            return !error;
        // SETTINGS with the largest INITIAL_WINDOW_SIZE, and WINDOW_UPDATE for the connection.
        static constexpr char openWindows[] = "\0\0\6\4\0\0\0\0\0\0\4\x7f\xff\xff\xff"
                                              "\0\0\4\x8\0\0\0\0\0\x7f\xff\0\0";
        if (!error)
            boost::asio::write(m_socket, boost::asio::buffer(openWindows, sizeof openWindows - 1), error);
        while (!error && (m_bytes < m_plan.bytes || m_items < m_plan.items))
            readFrame(error);
        return !error;
    }

    void readFrame(boost::system::error_code& error)
    {
        std::array<uint8_t, frameHeaderBytes> header {};
        boost::asio::read(m_socket, boost::asio::buffer(header), error);
        if (error)
            return;
        std::string payload((size_t { header[0] } << 16) + (size_t { header[1] } << 8) + header[2], '\0');
        boost::asio::read(m_socket, boost::asio::buffer(payload), error);
        if (error || header[3] != dataFrame)
            return;
        m_bytes += payload.size();
        auto frames = m_decoder.feed(payload);
        if (isError(frames))
            return;
        for (const auto& frame : valueOf(frames))
            m_items += static_cast<size_t>(frame.items_size());
    }

    void finish()
    {
        boost::system::error_code ignored;
        if (m_plan.ending == Termination::Silence)
            m_mayDie.get_future().wait();
        if (m_plan.ending == Termination::Reset)
            m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        if (m_plan.ending == Termination::Shutdown)
            shutDown();
        m_socket.close(ignored);
        m_acceptor.close(ignored);
    }

    // Ends this side's bytes, and stays until the other side closes.
    void shutDown()
    {
        boost::system::error_code error;
        m_socket.shutdown(tcp::socket::shutdown_send, error);
        std::string ignored(receiveBytes, '\0');
        while (!error)
            m_socket.read_some(boost::asio::buffer(ignored), error);
    }

    Plan m_plan;
    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    FrameDecoder m_decoder;
    size_t m_bytes { 0 };
    size_t m_items { 0 };
    std::atomic<bool> m_isAtStage { false };
    std::promise<void> m_mayEnd;
    std::promise<void> m_mayDie;
    bool m_isEnding { false };
    bool m_isKilled { false };
    std::thread m_thread;
};

} // namespace Brassladder::Inner
