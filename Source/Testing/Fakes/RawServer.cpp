// SPDX-License-Identifier: Apache-2.0
#include "Testing/Fakes/RawServer.h"

#include <atomic>
#include <boost/asio.hpp>
#include <mutex>
#include <thread>

namespace Brassladder::Testing::Fakes {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

struct RawServer::State {
    explicit State(Respond hook)
        : respond(std::move(hook))
        , acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
        , endpoint { "127.0.0.1", acceptor.local_endpoint().port() }
    {
    }

    void serve(tcp::socket socket)
    {
        boost::system::error_code error;
        std::string buffer;
        while (true) {
            auto bytes = asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
            if (error)
                return;
            auto head = buffer.substr(0, bytes);
            buffer.erase(0, bytes);
            {
                std::lock_guard lock(mutex);
                requests.push_back(head);
            }
            auto answer = respond(head);
            asio::write(socket, asio::buffer(answer.bytes), error);
            if (error)
                return;
            if (answer.closes) {
                socket.shutdown(tcp::socket::shutdown_send, error);
                asio::read(socket, asio::dynamic_buffer(buffer), error);
                return;
            }
        }
    }

    Respond respond;
    asio::io_context context;
    tcp::acceptor acceptor;
    Common::Endpoint endpoint;
    std::atomic<bool> isEnding { false };
    std::mutex mutex;
    std::vector<std::string> requests;
};

RawServer::RawServer(Respond respond)
    : m_state(std::make_shared<State>(std::move(respond)))
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

RawServer::~RawServer()
{
    m_state->isEnding = true;
    // Wakes the accepting thread.
    boost::system::error_code ignored;
    tcp::socket socket(m_state->context);
    socket.connect(m_state->acceptor.local_endpoint(), ignored);
}

const Common::Endpoint& RawServer::endpoint() const { return m_state->endpoint; }

std::vector<std::string> RawServer::requests() const
{
    std::lock_guard lock(m_state->mutex);
    return m_state->requests;
}

std::string RawServer::fieldOf(const std::string& head, const std::string& name)
{
    auto begin = head.find("\r\n" + name + ": ");
    if (begin == std::string::npos)
        return "";
    begin += name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string exchangeBytes(const Common::Endpoint& endpoint, const std::string& bytes)
{
    asio::io_context context;
    tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect({ asio::ip::make_address(endpoint.address), endpoint.port }, error);
    std::string received;
    asio::write(socket, asio::buffer(bytes), error);
    asio::read(socket, asio::dynamic_buffer(received), error);
    return received;
}

} // namespace Brassladder::Testing::Fakes
