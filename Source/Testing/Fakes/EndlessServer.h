// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Common/Clock.h"
#include "Common/Endpoint.h"

#include <atomic>
#include <memory>
#include <string>

namespace Brassladder::Testing::Fakes {

// A TCP server that answers each connection with a text and then repeats a filler until the client closes. Gives up
// after `maxBytes`, so that a client without a bound ends a test.
class EndlessServer {
public:
    static constexpr size_t maxBytes = 64 * 1024 * 1024;

    // Pauses after each filler.
    EndlessServer(std::string beginning, std::string filler, Common::Milliseconds pause = Common::Milliseconds(0));
    ~EndlessServer();
    EndlessServer(const EndlessServer&) = delete;
    EndlessServer& operator=(const EndlessServer&) = delete;

    const Common::Endpoint& endpoint() const;
    // Bytes that all clients together took, with those in the buffers of the sockets.
    size_t sentBytes() const;
    // Connections that their clients closed.
    size_t closedByClients() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Brassladder::Testing::Fakes
