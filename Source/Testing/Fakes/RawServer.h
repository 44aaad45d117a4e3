// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Endpoint.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Brassladder::Testing::Fakes {

// A TCP server that answers each request with bytes, which need not be a response. Reads requests without bodies.
class RawServer {
public:
    struct Answer {
        std::string bytes;
        bool closes { true }; // Ends the connection after the bytes.
    };
    // Called on the thread of the connection, with the head of the request.
    using Respond = std::function<Answer(const std::string& head)>;

    explicit RawServer(Respond);
    ~RawServer();
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    const Common::Endpoint& endpoint() const;
    // Heads of the requests that arrived.
    std::vector<std::string> requests() const;
    // The value of a field of a head; empty if it is absent. Names are compared as they are.
    static std::string fieldOf(const std::string& head, const std::string& name);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

// Sends bytes on a new connection, and returns what arrives until the remote side closes it.
std::string exchangeBytes(const Common::Endpoint&, const std::string& bytes);

} // namespace Brassladder::Testing::Fakes
