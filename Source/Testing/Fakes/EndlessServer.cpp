// SPDX-License-Identifier: Apache-2.0
#include "Testing/Fakes/EndlessServer.h"

#include <array>
#include <boost/asio.hpp>
#include <thread>

namespace Brassladder::Testing::Fakes {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

struct EndlessServer::State {
    State(std::string beginningText, std::string fillerText, Common::Milliseconds pauseTime)
        : beginning(std::move(beginningText))
        , filler(std::move(fillerText))
        , pause(pauseTime)
        , acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , endpoint { "127.0.0.1", acceptor.local_endpoint().port() }
    {
    }

    void serve(tcp::socket socket)
    {
        boost::system::error_code error;
        std::array<char, 4096> request {};
        socket.read_some(asio::buffer(request), error);
        size_t bytes = asio::write(socket, asio::buffer(beginning), error);
        sent += bytes;
        while (!error && bytes < maxBytes && !isEnding) {
            auto written = asio::write(socket, asio::buffer(filler), error);
            bytes += written;
            sent += written;
            std::this_thread::sleep_for(pause);
        }
        if (error)
            ++closed;
    }

    std::string beginning;
    std::string filler;
    Common::Milliseconds pause;
    asio::io_context context;
    tcp::acceptor acceptor;
    Common::Endpoint endpoint;
    std::atomic<bool> isEnding { false };
    std::atomic<size_t> sent { 0 };
    std::atomic<size_t> closed { 0 };
};

EndlessServer::EndlessServer(std::string beginning, std::string filler, Common::Milliseconds pause)
    : m_state(std::make_shared<State>(std::move(beginning), std::move(filler), pause))
{
    std::thread([state = m_state] {
        while (!state->isEnding) {
            boost::system::error_code error;
            tcp::socket socket(state->context);
            state->acceptor.accept(socket, error);
            if (!error)
                std::thread([state, accepted = std::move(socket)]() mutable {
                    state->serve(std::move(accepted));
                }).detach();
        }
    }).detach();
}

EndlessServer::~EndlessServer()
{
    m_state->isEnding = true;
    // Wakes the accepting thread.
    boost::system::error_code ignored;
    tcp::socket socket(m_state->context);
    socket.connect(m_state->acceptor.local_endpoint(), ignored);
}

const Common::Endpoint& EndlessServer::endpoint() const { return m_state->endpoint; }

size_t EndlessServer::sentBytes() const { return m_state->sent; }

size_t EndlessServer::closedByClients() const { return m_state->closed; }

} // namespace Brassladder::Testing::Fakes
